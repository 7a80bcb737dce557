// Time to validate a configuration change at the target scale: 6 data centres and 45 organisations.

#include "api/configurationsubmission.h"
#include "auth/keyhash.h"

#include <chrono>
#include <cstdio>

using namespace fescuecleat;

namespace {

constexpr int organisationCount = 45;
constexpr int dataCentreCount = 6;
constexpr int rounds = 200;

std::string baseText()
{
    std::string text = R"({"data_centre": {"workers": 220, "workers_per_rack": 8, "accelerators_per_worker": 8},
        "operators": {"keys": [")"
        + toString(createKey().hash_) + R"("]}, "organisations": {)";
    for (int i = 0; i < organisationCount; ++i) {
        text += (i == 0 ? "" : ",") + ("\"organisation-" + std::to_string(i)) + R"(": {"guarantee": {"worker": 3, "quad": 1}, "weight": 2, "keys": [")"
            + toString(createKey().hash_) + R"("]})";
    }
    return text + R"(}, "services": {"rilievo": {}}, "policy": {"max_attempts": 3}})";
}

}

int main()
{
    const std::string base = baseText();
    std::string overlays;
    std::vector<DataCentreId> dataCentres;
    for (int i = 0; i < dataCentreCount; ++i) {
        dataCentres.emplace_back("dc-" + std::to_string(i));
        overlays += (i == 0 ? "" : ",") + ("\"dc-" + std::to_string(i)) + R"(": {"data_centre": {"workers": 217}, "organisations": {"organisation-3": {"weight": 4}}})";
    }
    const std::string body = R"({"expected_version": 1, "who": "benchmark", "base": )" + base + R"(, "overlays": {)" + overlays + "}}";

    const auto start = std::chrono::steady_clock::now();
    std::size_t accepted = 0;
    for (int i = 0; i < rounds; ++i) {
        const Result<JsonValue> value = parseJson(body);
        const auto submission = parseConfigurationSubmission(*value);
        const auto deployment = parseDeployment(submission->base_, submission->overlays_, dataCentres);
        accepted += deployment ? deployment->size() : 0;
    }
    const double milliseconds = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count() / rounds;
    std::printf("body %zu bytes, %zu configurations accepted\n", body.size(), accepted);
    std::printf("parse, merge and validate all data centres  %.2f ms\n", milliseconds);
    return 0;
}
