#include "control/configurationrecords.h"
#include "control/controlrecords.h"
#include "platform/httpinstancelist.h"
#include "platform/tablecodec.h"
#include "state/jobkeyrecord.h"
#include "state/snapshot.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace fescuecleat;

namespace {

/** Mutations of each sample; a longer run: FESCUECLEAT_FUZZ_ROUNDS=1000000 FESCUECLEAT_FUZZ_SEED=7 build/tests/test_fuzz */
constexpr unsigned defaultRounds = 400;
constexpr unsigned defaultSeed = 20261203;

unsigned fromEnvironment(const char* name, unsigned fallback)
{
    const char* text = std::getenv(name);
    return text ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : fallback;
}

/** A decoder, a text that it takes, and a check of what it made of another text. */
struct Decoder {
    std::string sample_;
    /** True if the text was taken; fails the test if what it took doesn't survive being written. */
    std::function<bool(const std::string&)> take_;
};

/** A decoder whose records are written back: they have to read the same again. */
template <typename Parse, typename Write>
Decoder roundTrip(std::string sample, Parse parse, Write write)
{
    return { std::move(sample), [parse, write](const std::string& text) {
                const auto record = parse(text, "fuzz");
                if (!record)
                    return false;
                const auto again = parse(write(*record), "fuzz");
                CPPUNIT_ASSERT_MESSAGE(text, again && *again == *record);
                return true;
            } };
}

template <typename Parse>
Decoder oneWay(std::string sample, Parse parse)
{
    return { std::move(sample), [parse](const std::string& text) { return static_cast<bool>(parse(text)); } };
}

std::vector<Decoder> decoders()
{
    JobRecord job;
    job.spec_.id_ = JobId("j\"1\n");
    job.spec_.organisation_ = OrganisationId("studio");
    job.spec_.payload_ = "{\"a\": \"\\u00e8\"}";
    job.dataCentre_ = DataCentreId("catania");
    job.placement_ = { WorkerId("w1") };
    job.checkpointedShare_ = 0.25;
    const ConfigurationVersion version { { 3, "anna", 1000 }, "because", "{ // base\n}", { { DataCentreId("catania"), "{}" } } };
    Snapshot snapshot;
    snapshot.dataCentre_ = job.dataCentre_;
    snapshot.configuration_ = version;
    snapshot.jobs_ = { job, job };
    return {
        roundTrip(writeJobRecordText(job), parseJobRecordText, writeJobRecordText),
        roundTrip(writeJobKeyRecord({ job.spec_.id_, job.dataCentre_, "ab12" }), parseJobKeyRecord, writeJobKeyRecord),
        roundTrip(writeLeaseRecord({ InstanceId("i1"), 4, "claim" }), parseLeaseRecord, writeLeaseRecord),
        roundTrip(writeServiceRecord({ false, "anna", "power", 1000, 5000 }), parseServiceRecord, writeServiceRecord),
        roundTrip(writeServiceAcknowledgement({ 4, 2 }), parseServiceAcknowledgement, writeServiceAcknowledgement),
        roundTrip(writeConfigurationHead(version.head_), parseConfigurationHead, writeConfigurationHead),
        roundTrip(writeConfigurationVersion(version), parseConfigurationVersion, writeConfigurationVersion),
        roundTrip(writeSnapshot(snapshot), parseSnapshot, writeSnapshot),
        oneWay(R"({"revision": 12})", parseCommitted),
        oneWay(R"({"current": [{"key": "a", "value": "x", "version": 3}]})", parseConflicted),
        oneWay(R"({"key": "a", "value": "x", "version": 3})", parseRow),
        oneWay(R"({"rows": [{"key": "a", "value": null, "version": 3}], "revision": 4})", parseRowScan),
        oneWay(R"({"names": ["a", "b"]})", parseNames),
        oneWay(R"({"instances": [{"id": "e", "role": "entry", "data_centre": "c", "address": "10.0.0.1:80", "peer_address": "10.0.0.1:81"}]})", parseInstances),
    };
}

std::string mutated(std::string text, std::mt19937& random)
{
    static const std::vector<std::string> fragments { "{", "}", "[", "]", ",", ":", "\"", "null", "-1", "1e999", "9223372036854775808", "\\u0000", "\xff", "//", "/*", "0.1", "true", "\\" };
    const unsigned changes = 1 + random() % 4;
    for (unsigned i = 0; i < changes; ++i) {
        const std::size_t at = random() % (text.size() + 1);
        switch (random() % 5) {
        case 0:
            text.insert(at, fragments[random() % fragments.size()]);
            break;
        case 1:
            text.erase(at, random() % 8);
            break;
        case 2:
            text.resize(at);
            break;
        case 3:
            if (at < text.size())
                text[at] = static_cast<char>(random());
            break;
        default:
            text.insert(at, text.substr(random() % (text.size() + 1), random() % 32));
        }
    }
    return text;
}

}

/** Bytes from outside never crash a decoder, and what it takes it can write again. */
class DecoderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecoderTest);
    CPPUNIT_TEST(takesOrRefuses);
    CPPUNIT_TEST_SUITE_END();

    void takesOrRefuses()
    {
        const unsigned rounds = fromEnvironment("FESCUECLEAT_FUZZ_ROUNDS", defaultRounds);
        std::mt19937 random(fromEnvironment("FESCUECLEAT_FUZZ_SEED", defaultSeed));
        for (const Decoder& decoder : decoders()) {
            CPPUNIT_ASSERT_MESSAGE(decoder.sample_, decoder.take_(decoder.sample_));
            unsigned refused = 0;
            for (unsigned round = 0; round < rounds; ++round)
                refused += decoder.take_(mutated(decoder.sample_, random)) ? 0 : 1;
            CPPUNIT_ASSERT_MESSAGE(decoder.sample_, refused > 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecoderTest);
