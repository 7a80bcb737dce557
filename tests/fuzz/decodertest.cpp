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

/** Mutations per sample. For a longer run: FESCUECLEAT_FUZZ_ROUNDS=1000000 FESCUECLEAT_FUZZ_SEED=7 build/tests/test_fuzz */
constexpr unsigned defaultRounds = 400;
constexpr unsigned defaultSeed = 20261203;

unsigned environmentValue(const char* name, unsigned fallback)
{
    const char* text = std::getenv(name);
    return text ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : fallback;
}

/** A decoder under test with a valid sample input. */
struct Decoder {
    std::string sample_;
    /** True if the decoder accepted the text. Fails the test if an accepted record doesn't round-trip. */
    std::function<bool(const std::string&)> accepts_;
};

/** A decoder with an encoder: an accepted record must be equal after encoding and decoding it. */
template <typename Parse, typename Write>
Decoder roundTrip(std::string sample, Parse parse, Write write)
{
    return { std::move(sample), [parse, write](const std::string& text) {
                const auto record = parse(text, "fuzz");
                if (!record)
                    return false;
                const auto reparsed = parse(write(*record), "fuzz");
                CPPUNIT_ASSERT_MESSAGE(text, reparsed && *reparsed == *record);
                return true;
            } };
}

template <typename Parse>
Decoder decodeOnly(std::string sample, Parse parse)
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
        decodeOnly(R"({"revision": 12})", parseCommitted),
        decodeOnly(R"({"current": [{"key": "a", "value": "x", "version": 3}]})", parseConflicted),
        decodeOnly(R"({"key": "a", "value": "x", "version": 3})", parseRow),
        decodeOnly(R"({"rows": [{"key": "a", "value": null, "version": 3}], "revision": 4})", parseRowScan),
        decodeOnly(R"({"names": ["a", "b"]})", parseNames),
        decodeOnly(R"({"instances": [{"id": "e", "role": "entry", "data_centre": "c", "address": "10.0.0.1:80", "peer_address": "10.0.0.1:81"}]})", parseInstances),
    };
}

std::string mutate(std::string text, std::mt19937& random)
{
    static const std::vector<std::string> fragments { "{", "}", "[", "]", ",", ":", "\"", "null", "-1", "1e999", "9223372036854775808", "\\u0000", "\xff", "//", "/*", "0.1", "true", "\\" };
    const unsigned mutations = 1 + random() % 4;
    for (unsigned i = 0; i < mutations; ++i) {
        const std::size_t position = random() % (text.size() + 1);
        switch (random() % 5) {
        case 0:
            text.insert(position, fragments[random() % fragments.size()]);
            break;
        case 1:
            text.erase(position, random() % 8);
            break;
        case 2:
            text.resize(position);
            break;
        case 3:
            if (position < text.size())
                text[position] = static_cast<char>(random());
            break;
        default:
            text.insert(position, text.substr(random() % (text.size() + 1), random() % 32));
        }
    }
    return text;
}

}

/** Mutated input never crashes a decoder, and accepted records round-trip. */
class DecoderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecoderTest);
    CPPUNIT_TEST(handlesMutatedInput);
    CPPUNIT_TEST_SUITE_END();

    void handlesMutatedInput()
    {
        const unsigned rounds = environmentValue("FESCUECLEAT_FUZZ_ROUNDS", defaultRounds);
        std::mt19937 random(environmentValue("FESCUECLEAT_FUZZ_SEED", defaultSeed));
        for (const Decoder& decoder : decoders()) {
            CPPUNIT_ASSERT_MESSAGE(decoder.sample_, decoder.accepts_(decoder.sample_));
            unsigned rejected = 0;
            for (unsigned round = 0; round < rounds; ++round)
                rejected += decoder.accepts_(mutate(decoder.sample_, random)) ? 0 : 1;
            CPPUNIT_ASSERT_MESSAGE(decoder.sample_, rejected > 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecoderTest);
