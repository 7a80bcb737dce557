#include "platform/httptable.h"

#include "platform/httpinstancelist.h"
#include "support/fakeplatform.h"
#include "support/property.h"

using namespace fescuecleat;

namespace {

constexpr Duration shortBackoff = std::chrono::microseconds(50);
const RetryPolicy shortRetries { shortBackoff, shortBackoff, std::chrono::milliseconds(100) };
constexpr Duration commitTimeout = std::chrono::milliseconds(2);

Transaction increment(const std::string& writeId, const Row& row)
{
    return { writeId, { { row.key_, row.version_ } }, { { row.key_, row.value_ + "x" } } };
}

}

/** Outcomes reported by the table client when requests and answers are lost. */
class HttpTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpTableTest);
    CPPUNIT_TEST(neverMisreportsACommit);
    CPPUNIT_TEST(reportsUnavailableOnlyIfNothingWasSent);
    CPPUNIT_TEST(rejectsTheAnswerForAnotherRow);
    CPPUNIT_TEST(readsInstances);
    CPPUNIT_TEST_SUITE_END();

    /**
     * A single writer appends to a row conditionally and tracks the expected row
     * from the reported outcomes. Guards against reporting a commit that took
     * effect as failed, or the reverse.
     */
    void neverMisreportsACommit()
    {
        CHECK_PROPERTY("the reported outcome of a commit is its actual outcome", [](unsigned seed) {
            FakePlatform platform(seed);
            HttpTable table(platform, {}, shortRetries);
            platform.setFaults({ 0.1, 0.15, 0.2, 0.05, 0.15 });
            Row expected { "row", "", 0 };
            bool isKnown = true;
            for (int i = 0; i < 20; ++i) {
                const std::string id = "w" + std::to_string(i);
                const Result<CommitOutcome> outcome = table.commit(increment(id, expected), monotonicNow() + commitTimeout);
                if (!outcome && outcome.error().kind_ == ErrorKind::OutcomeUnknown) {
                    isKnown = false;
                } else if (outcome && std::holds_alternative<Committed>(*outcome)) {
                    expected = { "row", expected.value_ + "x", std::get<Committed>(*outcome).revision_ };
                } else if (outcome) {
                    // A single writer can conflict only after an unknown outcome.
                    RC_ASSERT(!isKnown);
                }
                const Row actual = *platform.table().read("row", Time::max());
                RC_ASSERT(!isKnown || actual == expected);
                if (!isKnown) {
                    platform.deliverAll();
                    expected = *platform.table().read("row", Time::max());
                    isKnown = true;
                }
            }
            platform.deliverAll();
            RC_ASSERT(*platform.table().read("row", Time::max()) == expected);
        });
    }

    void reportsUnavailableOnlyIfNothingWasSent()
    {
        FakePlatform platform(1);
        HttpTable table(platform, {}, shortRetries);
        platform.setFaults({ 1, 0, 0, 0, 0 });
        const Transaction transaction = increment("w", { "row", "", 0 });
        CPPUNIT_ASSERT(table.commit(transaction, monotonicNow() + commitTimeout).error().kind_ == ErrorKind::Unavailable);
        platform.setFaults({ 0, 0, 1, 0, 0 });
        CPPUNIT_ASSERT(table.commit(transaction, monotonicNow() + commitTimeout).error().kind_ == ErrorKind::OutcomeUnknown);
        platform.setFaults({ 0, 0, 0, 1, 0 });
        CPPUNIT_ASSERT(table.commit(transaction, monotonicNow() + commitTimeout).error().kind_ == ErrorKind::OutcomeUnknown);
        platform.setFaults({});
        CPPUNIT_ASSERT(std::holds_alternative<Committed>(*table.commit(transaction, monotonicNow() + commitTimeout)));
        CPPUNIT_ASSERT_EQUAL(std::string("x"), table.read("row", monotonicNow() + commitTimeout)->value_);
    }

    /** Guards against accepting an answer that belongs to another call. */
    void rejectsTheAnswerForAnotherRow()
    {
        class MisroutedClient : public HttpClient {
        public:
            tl::expected<HttpResponse, TransportError> send(const Address&, const HttpRequest&, Time, bool) override
            {
                return HttpResponse { 200, {}, R"({"key":"other","value":"x","version":3})" };
            }
        };
        MisroutedClient client;
        HttpTable table(client, {}, shortRetries);
        CPPUNIT_ASSERT(!table.read("row", monotonicNow() + commitTimeout));
    }

    void readsInstances()
    {
        const auto instances = parseInstances(R"({"instances": [
            {"id": "e1", "role": "entry", "data_centre": "catania", "address": "10.0.0.1:80", "peer_address": "10.0.0.1:81", "leaving": true},
            {"id": "m1", "role": "minion", "data_centre": "catania", "address": "10.0.0.2:80", "group": "rilievo"},
            {"id": "x1", "role": "printer", "data_centre": "catania", "address": ""}]})");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, instances->size());
        CPPUNIT_ASSERT(instances->front().isLeaving_ && instances->front().peerAddress_ == (Address { "10.0.0.1", 81 }));
        CPPUNIT_ASSERT_EQUAL(std::string("rilievo"), instances->back().group_);
        CPPUNIT_ASSERT(!parseInstances(R"({"instances": [{"id": "e1", "role": "entry", "data_centre": "c", "address": "10.0.0.1:99999"}]})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTableTest);
