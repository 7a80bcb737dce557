// Time to identify a caller by the id in its key, compared with trying every hash.

#include "auth/keyring.h"

#include <chrono>
#include <cstdio>
#include <vector>

using namespace fescuecleat;

namespace {

constexpr int organisationCount = 45;
constexpr int keysPerOrganisation = 2;
constexpr int calls = 20000;

template <typename Function>
double microsecondsPerCall(int count, const Function& function)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i)
        function(i);
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / count;
}

}

int main()
{
    Configuration configuration;
    std::vector<NewKey> keys;
    for (int i = 0; i < organisationCount; ++i) {
        OrganisationConfiguration organisation;
        organisation.id_ = OrganisationId("organisation-" + std::to_string(i));
        for (int k = 0; k < keysPerOrganisation; ++k) {
            keys.push_back(createKey());
            organisation.keyHashes_.push_back(toString(keys.back().hash_));
        }
        configuration.organisations_.push_back(organisation);
    }
    const Keyring keyring(configuration);
    std::size_t identified = 0;
    const double byId = microsecondsPerCall(calls, [&](int i) { identified += std::holds_alternative<OrganisationId>(keyring.identify(keys[i % keys.size()].key_)) ? 1 : 0; });
    const double byTryingHashes = microsecondsPerCall(calls / 100, [&](int i) {
        for (const NewKey& candidate : keys) {
            if (matches(keys[i % keys.size()].key_, candidate.hash_)) {
                ++identified;
                break;
            }
        }
    });
    const double construction = microsecondsPerCall(100, [&](int) { identified += std::holds_alternative<Unauthenticated>(Keyring(configuration).identify("")) ? 1 : 0; });
    std::printf("keys %zu, identified %zu\n", keys.size(), identified);
    std::printf("identify by the key's id   %.2f us\n", byId);
    std::printf("identify by trying hashes  %.2f us\n", byTryingHashes);
    std::printf("construct a keyring        %.0f us\n", construction);
    return 0;
}
