#include "auth/keyhash.h"
#include "settings/configurationparser.h"
#include "settings/merge.h"
#include "settings/sections.h"
#include "settings/settingsloader.h"
#include "settings/settingsparser.h"
#include "support/property.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

using namespace fescuecleat;

namespace {

/** Returns a valid document with two organisations. */
JsonValue validDocument()
{
    static const std::string key = toString(createKey().hash_);
    return *parseJson(R"({
        "instance": {"id": "entry-1", "data_centre": "catania", "caller_address": "127.0.0.1:7100",
            "operator_address": "127.0.0.1:7101", "peer_address": "127.0.0.1:7102", "stop_time": "20s"},
        "platform": {"address": "127.0.0.1:7000"},
        "data_centres": ["catania", "palermo"],
        "data_centre": {"workers": 18, "workers_per_rack": 8, "accelerators_per_worker": 8},
        "organisations": {
            "beni-culturali": {"guarantee": {"rack": 1, "quad": 2}, "weight": 2},
            "duomo": {"guarantee": {"worker": 4, "pair": 1}}},
        "services": {"rilievo": {"slots_per_minion": 8}},
        "operators": {"keys": [")"
        + key + R"("]},
        "policy": {"checkpoint_time": "45s", "moves_per_hour": 3}
    })");
}

JsonValue withOverlay(const std::string& overlay)
{
    return merge(validDocument(), *parseJson(overlay));
}

bool containsError(const std::vector<Error>& errors, ErrorKind kind, const std::string& location)
{
    return std::any_of(errors.begin(), errors.end(), [&](const Error& error) {
        return error.kind_ == kind && error.location_ == location && !error.remedy_.empty();
    });
}

std::vector<Error> validationErrors(const JsonValue& document)
{
    std::vector<Error> errors;
    const ValidationResult<Settings> settings = parseSettings(document);
    if (!settings)
        errors = settings.error();
    const ValidationResult<Configuration> configuration = parseConfiguration(document);
    if (!configuration)
        errors.insert(errors.end(), configuration.error().begin(), configuration.error().end());
    return errors;
}

std::string describeAll(const std::vector<Error>& errors)
{
    std::string lines;
    for (const Error& error : errors)
        lines += describe(error) + "\n";
    return lines;
}

/** Reference implementation of the guarantee check: places cells one by one, largest level first. */
bool fitsByNaivePacking(const DataCentreCapacity& capacity, std::vector<CellCount> guarantee)
{
    std::vector<std::vector<bool>> used(capacity.workers_, std::vector<bool>(capacity.acceleratorsPerWorker_));
    const auto occupyWorker = [&](int worker) { used[worker].assign(used[worker].size(), true); };
    const auto isFree = [&](int worker) { return std::find(used[worker].begin(), used[worker].end(), true) == used[worker].end(); };
    std::sort(guarantee.rbegin(), guarantee.rend());
    for (const CellCount& cells : guarantee) {
        for (int count = 0; count < cells.count_; ++count) {
            bool isPlaced = false;
            if (cells.level_ == CellLevel::Rack) {
                for (int rack = 0; rack < capacity.fullRacks() && !isPlaced; ++rack) {
                    const int firstWorker = rack * capacity.workersPerRack_;
                    if (!isFree(firstWorker))
                        continue;
                    for (int worker = firstWorker; worker < firstWorker + capacity.workersPerRack_; ++worker)
                        occupyWorker(worker);
                    isPlaced = true;
                }
            }
            if (cells.level_ == CellLevel::Worker) {
                for (int worker = capacity.workers_ - 1; worker >= 0 && !isPlaced; --worker) {
                    isPlaced = isFree(worker);
                    if (isPlaced)
                        occupyWorker(worker);
                }
            }
            const int size = cells.level_ == CellLevel::Quad ? 4 : cells.level_ == CellLevel::Pair ? 2
                                                                                                   : 1;
            for (int worker = 0; cells.level_ < CellLevel::Worker && worker < capacity.workers_ && !isPlaced; ++worker) {
                for (int firstAccelerator = 0; firstAccelerator + size <= capacity.acceleratorsPerWorker_ && !isPlaced; firstAccelerator += size) {
                    const auto begin = used[worker].begin() + firstAccelerator;
                    isPlaced = std::find(begin, begin + size, true) == begin + size;
                    if (isPlaced)
                        std::fill(begin, begin + size, true);
                }
            }
            if (!isPlaced)
                return false;
        }
    }
    return true;
}

}

/** Tests parsing, merging and validation of settings and configurations. */
class SettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(readsValidDocument);
    CPPUNIT_TEST(appliesMergePatch);
    CPPUNIT_TEST(mergeIsAssociativeWithoutNull);
    CPPUNIT_TEST(rejectsInvalidValues);
    CPPUNIT_TEST(reportsEveryErrorAtOnce);
    CPPUNIT_TEST(rejectsRemotePeersWithoutKeys);
    CPPUNIT_TEST(reportsGuaranteeExcess);
    CPPUNIT_TEST(guaranteeCheckAgreesWithNaivePacking);
    CPPUNIT_TEST(reportsFileAndLine);
    CPPUNIT_TEST(rejectsInvalidFiles);
    CPPUNIT_TEST(excludesSecretsFromConfiguration);
    CPPUNIT_TEST_SUITE_END();

    void readsValidDocument()
    {
        const ValidationResult<Settings> settings = parseSettings(validDocument());
        CPPUNIT_ASSERT_MESSAGE(describeAll(validationErrors(validDocument())), settings);
        CPPUNIT_ASSERT_EQUAL(std::string("catania"), settings->dataCentre_.value());
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7101"), toString(settings->operatorAddress_));
        CPPUNIT_ASSERT(settings->stopTimeout_ == std::chrono::seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, settings->bootstrapOperatorKeyHashes_.size());

        const ValidationResult<Configuration> configuration = parseConfiguration(validDocument());
        CPPUNIT_ASSERT(configuration);
        const std::vector<CellCount> guarantee { { CellLevel::Rack, 1 }, { CellLevel::Quad, 2 } };
        CPPUNIT_ASSERT(configuration->organisations_[0].guarantee_ == guarantee);
        CPPUNIT_ASSERT(configuration->policy_.checkpointTimeout_ == std::chrono::seconds(45));
        CPPUNIT_ASSERT_EQUAL(3, configuration->policy_.movesPerHour_);
        CPPUNIT_ASSERT_EQUAL(60, configuration->services_[0].connectionsPerMinion_);
    }

    void appliesMergePatch()
    {
        const auto merged = [](const char* base, const char* overlay) { return writeJson(merge(*parseJson(base), *parseJson(overlay))); };
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"a":{"b":1,"c":3},"d":4})"), merged(R"({"a":{"b":1,"c":2}})", R"({"a":{"c":3},"d":4})"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"b":1})"), merged(R"({"a":2,"b":1})", R"({"a":null})"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"a":[3]})"), merged(R"({"a":[1,2]})", R"({"a":[3]})"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"a":{"b":{}}})"), merged(R"({"a":1})", R"({"a":{"b":{"c":null}}})"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"a":0})"), merged(R"({"a":{"b":1}})", R"({"a":0})"));
    }

    void mergeIsAssociativeWithoutNull()
    {
        CHECK_PROPERTY("merging is associative for overlays without null", [] {
            const auto member = [] { return "\"" + std::string(1, *rc::gen::elementOf(std::string("abc"))) + "\":"; };
            const auto generateOverlay = [&] {
                const std::string firstValue = *rc::gen::elementOf(std::vector<std::string> { "1", "[2]", "{}" });
                return *parseJson("{" + member() + "{" + member() + firstValue + "}, \"x\":" + std::to_string(*rc::gen::inRange(0, 9)) + "}");
            };
            const JsonValue base = generateOverlay();
            const JsonValue firstOverlay = generateOverlay();
            const JsonValue secondOverlay = generateOverlay();
            RC_ASSERT(writeJson(merge(merge(base, firstOverlay), secondOverlay)) == writeJson(merge(base, merge(firstOverlay, secondOverlay))));
        });
    }

    void rejectsInvalidValues()
    {
        struct InvalidCase {
            const char* overlay_;
            ErrorKind kind_;
            const char* location_;
        };
        const std::vector<InvalidCase> invalidCases {
            { R"({"extra": 1})", ErrorKind::UnknownMember, "extra" },
            { R"({"instance": {"extra": 1}})", ErrorKind::UnknownMember, "instance.extra" },
            { R"({"organisations": {"duomo": {"guarantee": {"room": 1}}}})", ErrorKind::UnknownMember, "organisations.duomo.guarantee.room" },
            { R"({"instance": {"id": null}})", ErrorKind::MissingMember, "instance.id" },
            { R"({"data_centres": null})", ErrorKind::MissingMember, "data_centres" },
            { R"({"operators": {"keys": []}})", ErrorKind::MissingMember, "operators.keys" },
            { R"({"instance": {"caller_threads": "100"}})", ErrorKind::WrongType, "instance.caller_threads" },
            { R"({"organisations": [1]})", ErrorKind::WrongType, "organisations" },
            { R"({"instance": {"caller_address": "localhost:7100"}})", ErrorKind::WrongType, "instance.caller_address" },
            { R"({"instance": {"caller_address": "127.0.0.1:0"}})", ErrorKind::OutOfRange, "instance.caller_address" },
            { R"({"instance": {"caller_address": "127.0.0.1:70000"}})", ErrorKind::OutOfRange, "instance.caller_address" },
            { R"({"instance": {"caller_address": "127.0.0.1:7101"}})", ErrorKind::Conflict, "instance" },
            { R"({"instance": {"stop_time": 30}})", ErrorKind::WrongUnit, "instance.stop_time" },
            { R"({"instance": {"stop_time": "30"}})", ErrorKind::WrongUnit, "instance.stop_time" },
            { R"({"policy": {"checkpoint_time": "30 s"}})", ErrorKind::WrongUnit, "policy.checkpoint_time" },
            { R"({"policy": {"checkpoint_time": "30sec"}})", ErrorKind::WrongUnit, "policy.checkpoint_time" },
            { R"({"policy": {"checkpoint_time": "-30s"}})", ErrorKind::OutOfRange, "policy.checkpoint_time" },
            { R"({"policy": {"ageing_time": "99999999999999999999s"}})", ErrorKind::OutOfRange, "policy.ageing_time" },
            { R"({"policy": {"ageing_time": "9000000h"}})", ErrorKind::OutOfRange, "policy.ageing_time" },
            { R"({"policy": {"max_attempts": -1}})", ErrorKind::OutOfRange, "policy.max_attempts" },
            { R"({"data_centre": {"workers": 1e30}})", ErrorKind::WrongType, "data_centre.workers" },
            { R"({"data_centre": {"workers": 99999999999999999999}})", ErrorKind::OutOfRange, "data_centre.workers" },
            { R"({"organisations": {"duomo": {"weight": -1}}})", ErrorKind::OutOfRange, "organisations.duomo.weight" },
            { R"({"organisations": {"duomo": {"keys": ["secret"]}}})", ErrorKind::WrongType, "organisations.duomo.keys[0]" },
            { R"({"organisations": {"Duomo!": {}}})", ErrorKind::OutOfRange, "organisations.Duomo!" },
            { R"({"data_centres": ["catania", "catania"]})", ErrorKind::DuplicateMember, "data_centres[1]" },
            { R"({"instance": {"data_centre": "siracusa"}})", ErrorKind::UnknownReference, "instance.data_centre" },
            { R"({"log": {"format": "xml"}})", ErrorKind::OutOfRange, "log.format" },
            { R"({"tls": {"certificate": "a.pem"}})", ErrorKind::MissingMember, "tls.private_key" },
            { R"({"peers": {"public_key": "short", "secret_key": "short"}})", ErrorKind::OutOfRange, "peers.public_key" },
            { R"({"organisations": {"duomo": {"guarantee": {"rack": 3}}}})", ErrorKind::GuaranteeDoesNotFit, "organisations" },
        };
        for (const InvalidCase& invalidCase : invalidCases) {
            const std::vector<Error> errors = validationErrors(withOverlay(invalidCase.overlay_));
            CPPUNIT_ASSERT_MESSAGE(std::string(invalidCase.overlay_) + "\n" + describeAll(errors), containsError(errors, invalidCase.kind_, invalidCase.location_));
        }
    }

    void reportsEveryErrorAtOnce()
    {
        const auto errors = validationErrors(withOverlay(R"({"policy": {"max_attempts": 0, "other": 1}, "services": {"rilievo": {"slots_per_minion": "8"}}})"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describeAll(errors), std::size_t { 3 }, errors.size());
    }

    void rejectsRemotePeersWithoutKeys()
    {
        const std::string remoteAddress = R"({"instance": {"peer_address": "10.0.0.1:7102"}})";
        CPPUNIT_ASSERT(containsError(validationErrors(withOverlay(remoteAddress)), ErrorKind::MissingMember, "peers"));
        const std::string key(40, 'k');
        const JsonValue keys = *parseJson(R"({"peers": {"public_key": ")" + key + R"(", "secret_key": ")" + key + R"("}})");
        CPPUNIT_ASSERT(parseSettings(merge(withOverlay(remoteAddress), keys)));
    }

    void reportsGuaranteeExcess()
    {
        const ValidationResult<Configuration> configuration = parseConfiguration(withOverlay(R"({"organisations": {"duomo": {"guarantee": {"worker": 13}}}})"));
        CPPUNIT_ASSERT(!configuration);
        const std::string& message = configuration.error().front().message_;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t { 0 }, message.find("guarantees ask for 13 cells of level worker (duomo 13), larger guarantees leave 10: 3 too many"));
    }

    void guaranteeCheckAgreesWithNaivePacking()
    {
        CHECK_PROPERTY("the guarantee check agrees with naive packing", [] {
            DataCentreCapacity capacity;
            capacity.workers_ = *rc::gen::inRange(0, 9);
            capacity.workersPerRack_ = *rc::gen::inRange(1, 5);
            capacity.acceleratorsPerWorker_ = *rc::gen::inRange(1, 10);
            std::string guarantee;
            std::vector<CellCount> cells;
            for (const CellLevel level : { CellLevel::Accelerator, CellLevel::Pair, CellLevel::Quad, CellLevel::Worker, CellLevel::Rack }) {
                cells.push_back({ level, *rc::gen::inRange(0, 4) });
                guarantee += (guarantee.empty() ? "\"" : ", \"") + std::string(cellLevelName(level)) + "\": " + std::to_string(cells.back().count_);
            }
            JsonValue document = withOverlay(R"({"organisations": {"duomo": null, "beni-culturali": {"guarantee": {)" + guarantee + "}}}}");
            document.getMember("data_centre").getMember("workers").setValue(capacity.workers_);
            document.getMember("data_centre").getMember("workers_per_rack").setValue(capacity.workersPerRack_);
            document.getMember("data_centre").getMember("accelerators_per_worker").setValue(capacity.acceleratorsPerWorker_);
            // Worker and rack sizes that aren't powers of two leave cells that belong to no larger one;
            // naive packing handles them without a special case.
            RC_ASSERT(parseConfiguration(document).has_value() == fitsByNaivePacking(capacity, cells));
        });
    }

    /** Loads a file with the given text and returns its errors with their locations. */
    static std::vector<Error> fileErrors(const std::string& text)
    {
        const std::string name = "settingstest.json";
        std::ofstream(name) << text;
        const ValidationResult<Document> document = loadDocument({ name });
        std::remove(name.c_str());
        if (!document)
            return document.error();
        const ValidationResult<Configuration> configuration = parseConfiguration(document->merged_);
        return configuration ? std::vector<Error> {} : locateErrors(*document, configuration.error());
    }

    void reportsFileAndLine()
    {
        const auto errors = fileErrors("{\n  // \"policy\": {\"max_attempts\": 1}\n  \"policy\": {\"a\": [\"}\"],\n    \"max_attempts\": 0},\n"
                                       "  \"operators\": {\"keys\": [\n\n   \"x\"]}\n}");
        CPPUNIT_ASSERT_MESSAGE(describeAll(errors), containsError(errors, ErrorKind::OutOfRange, "settingstest.json:4: policy.max_attempts"));
        CPPUNIT_ASSERT_MESSAGE(describeAll(errors), containsError(errors, ErrorKind::WrongType, "settingstest.json:7: operators.keys[0]"));
        CPPUNIT_ASSERT_MESSAGE(describeAll(errors), containsError(errors, ErrorKind::MissingMember, "data_centre"));
    }

    void rejectsInvalidFiles()
    {
        CPPUNIT_ASSERT(containsError(fileErrors("{\"log\": {}, \"log\": {}}"), ErrorKind::DuplicateMember, "settingstest.json: log"));
        CPPUNIT_ASSERT(containsError(fileErrors("{}\n}"), ErrorKind::InvalidSyntax, "settingstest.json: line 2"));
        CPPUNIT_ASSERT(fileErrors("{\"log\": ").front().kind_ == ErrorKind::InvalidSyntax);
        CPPUNIT_ASSERT(fileErrors("[]").front().kind_ == ErrorKind::WrongType);
        CPPUNIT_ASSERT(fileErrors("").front().location_ == "settingstest.json");
        CPPUNIT_ASSERT(loadDocument({ "none.json", "neither.json" }).error().size() == 2);
    }

    void excludesSecretsFromConfiguration()
    {
        const JsonValue part = extractConfiguration(withOverlay(R"({"peers": {"secret_key": "hidden"}})"));
        CPPUNIT_ASSERT(writeJson(part).find("hidden") == std::string::npos);
        CPPUNIT_ASSERT(parseConfiguration(part) == parseConfiguration(validDocument()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
