// Cost of recognising a caller: by the key's own id, and by trying every hash.

#include "auth/keyring.h"

#include <chrono>
#include <cstdio>
#include <vector>

using namespace fescuecleat;

namespace {

constexpr int organisations = 45;
constexpr int keysPerOrganisation = 2;
constexpr int calls = 20000;

template <typename Function>
double microsecondsEach(int count, const Function& function)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i)
        function(i);
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / count;
}

}

int main()
{
    Configuration configuration;
    std::vector<NewKey> keys;
    for (int i = 0; i < organisations; ++i) {
        OrganisationConfiguration organisation;
        organisation.id_ = OrganisationId("organisation-" + std::to_string(i));
        for (int k = 0; k < keysPerOrganisation; ++k) {
            keys.push_back(createKey());
            organisation.keyHashes_.push_back(toString(keys.back().hash_));
        }
        configuration.organisations_.push_back(organisation);
    }
    const Keyring keyring(configuration);
    std::size_t recognised = 0;
    const double byId = microsecondsEach(calls, [&](int i) { recognised += std::holds_alternative<OrganisationId>(keyring.identify(keys[i % keys.size()].key_)) ? 1 : 0; });
    const double byTrial = microsecondsEach(calls / 100, [&](int i) {
        for (const NewKey& candidate : keys) {
            if (matches(keys[i % keys.size()].key_, candidate.hash_)) {
                ++recognised;
                break;
            }
        }
    });
    const double build = microsecondsEach(100, [&](int) { recognised += std::holds_alternative<Unauthenticated>(Keyring(configuration).identify("")) ? 1 : 0; });
    std::printf("keys %zu, recognised %zu\n", keys.size(), recognised);
    std::printf("identify by the key's id   %.2f us\n", byId);
    std::printf("identify by trying hashes  %.2f us\n", byTrial);
    std::printf("build a keyring            %.0f us\n", build);
    return 0;
}
