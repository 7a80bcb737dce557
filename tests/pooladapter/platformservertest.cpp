#include "registryrows.h"
#include "rowcodec.h"
#include "server/rowstoreserver.h"
#include "server/workerserver.h"
#include "workercodec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

using namespace fescuecleat;

namespace {

const RunId run { { "5c0e7a21d94b36f8", 2, 1, 17 }, 3 };
/** All bytes, among them those that Base64 and JSON treat specially. */
const std::string bytes = std::string("\0\x01\xff\"\\/+=\n", 9) + "\xc3\xa9";

HttpAnswer answerOf(const std::optional<ServerResponse>& response)
{
    CPPUNIT_ASSERT(response);
    return { response->status_, response->body_ };
}

RowPage pageOf(std::size_t rows, std::uint64_t firstVersion, std::uint64_t version)
{
    RowPage page;
    for (std::size_t i = 0; i < rows; ++i)
        page.rows_.push_back({ "k" + std::to_string(i), bytes, firstVersion + i, false });
    page.timestamp_.version_ = version;
    page.timestamp_.clockMs_ = 3521;
    return page;
}

}

/** What the adapter and the platform's side of it encode, the other one decodes to the same values. */
class PlatformServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformServerTest);
    CPPUNIT_TEST(pollRequest);
    CPPUNIT_TEST(startAndStopRequests);
    CPPUNIT_TEST(workerReport);
    CPPUNIT_TEST(workerAnswers);
    CPPUNIT_TEST(malformedRequests);
    CPPUNIT_TEST(registryEntry);
    CPPUNIT_TEST(transaction);
    CPPUNIT_TEST(commitAnswers);
    CPPUNIT_TEST(readPages);
    CPPUNIT_TEST(feedPages);
    CPPUNIT_TEST(queries);
    CPPUNIT_TEST_SUITE_END();

    void pollRequest()
    {
        PollRequest request;
        request.epoch_ = 7;
        request.acknowledgedEnds_ = 58;
        request.wait_ = std::chrono::milliseconds(250);
        const auto withoutLease = workerserver::decodePoll(encodePoll(request));
        CPPUNIT_ASSERT(withoutLease && !withoutLease->leaseUntilMs_);
        request.leaseUntilMs_ = 482113;
        const auto decoded = workerserver::decodePoll(encodePoll(request));
        CPPUNIT_ASSERT(decoded && decoded->leaseUntilMs_ == request.leaseUntilMs_);
        CPPUNIT_ASSERT_EQUAL(request.epoch_, decoded->epoch_);
        CPPUNIT_ASSERT_EQUAL(request.acknowledgedEnds_, decoded->acknowledgedEnds_);
        CPPUNIT_ASSERT(request.wait_ == decoded->wait_);
    }

    void startAndStopRequests()
    {
        const StartRequest start { run, std::make_shared<const std::string>("pay\"load"), 482113, 7, "00000bb87a21d94b" };
        const auto decoded = workerserver::decodeStart(encodeStart(start));
        CPPUNIT_ASSERT(decoded && decoded->run_ == start.run_);
        CPPUNIT_ASSERT_EQUAL(*start.payload_, *decoded->payload_);
        CPPUNIT_ASSERT_EQUAL(start.leaseUntilMs_, decoded->leaseUntilMs_);
        CPPUNIT_ASSERT_EQUAL(start.epoch_, decoded->epoch_);
        CPPUNIT_ASSERT_EQUAL(start.checkpoint_, decoded->checkpoint_);
        const auto stop = workerserver::decodeStop(encodeStop({ run, 7 }));
        CPPUNIT_ASSERT(stop && stop->run_ == run && stop->epoch_ == 7);
    }

    void workerReport()
    {
        PoolWorkerReport report;
        report.startedUnixMs_ = 1786030948094;
        report.clockMs_ = 482113;
        report.running_.push_back({ run, "00000bb87a21d94b", 41 });
        const std::vector<EndReason> reasons { EndReason::Done, EndReason::Failed, EndReason::Stopped, EndReason::LeaseExpired, EndReason::GangBroken, EndReason::GangIncomplete };
        for (const EndReason reason : reasons)
            report.ended_.push_back({ static_cast<std::int64_t>(report.ended_.size()) + 58, run, reason, "c" });
        const auto decoded = decodePollAnswer(answerOf(workerserver::encodePollAnswer(report)));
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(report.startedUnixMs_, decoded->startedUnixMs_);
        CPPUNIT_ASSERT_EQUAL(report.clockMs_, decoded->clockMs_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decoded->running_.size());
        CPPUNIT_ASSERT(decoded->running_[0].run_ == run && decoded->running_[0].checkpoint_ == "00000bb87a21d94b" && decoded->running_[0].percentDone_ == 41);
        CPPUNIT_ASSERT_EQUAL(reasons.size(), decoded->ended_.size());
        for (std::size_t i = 0; i < reasons.size(); ++i) {
            const ReportedEnd& end = decoded->ended_[i];
            CPPUNIT_ASSERT(end.run_ == run && end.reason_ == reasons[i] && end.checkpoint_ == "c" && end.sequence_ == report.ended_[i].sequence_);
        }
    }

    void workerAnswers()
    {
        for (const StartAnswer answer : { StartAnswer::Accepted, StartAnswer::StaleRun, StartAnswer::Refused }) {
            const auto decoded = decodeStartAnswer(answerOf(workerserver::encodeStartAnswer(answer)));
            CPPUNIT_ASSERT(decoded && *decoded == answer);
        }
        CPPUNIT_ASSERT(decodeStopAnswer(answerOf(workerserver::encodeStopAnswer({}))));
        for (const WorkerFailure failure : { WorkerFailure::StaleEpoch, WorkerFailure::OtherIncarnation }) {
            const tl::unexpected<WorkerFailure> failed(failure);
            CPPUNIT_ASSERT(decodePollAnswer(answerOf(workerserver::encodePollAnswer(failed))).error() == failure);
            CPPUNIT_ASSERT(decodeStartAnswer(answerOf(workerserver::encodeStartAnswer(failed))).error() == failure);
            CPPUNIT_ASSERT(decodeStopAnswer(answerOf(workerserver::encodeStopAnswer(failed))).error() == failure);
        }
        CPPUNIT_ASSERT(!workerserver::encodeStartAnswer(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer)));
    }

    void malformedRequests()
    {
        for (const char* body : { "", "{", "[]", "5", R"({"task":5,"run":1})", R"({"task":"a.b.c.d","run":1})", R"({"fence":"x"})" }) {
            CPPUNIT_ASSERT(!workerserver::decodePoll(body) || std::string(body).find("task") != std::string::npos);
            CPPUNIT_ASSERT(!workerserver::decodeStart(body));
            CPPUNIT_ASSERT(!workerserver::decodeStop(body));
        }
        CPPUNIT_ASSERT(!rowstoreserver::decodeTransaction("{"));
        CPPUNIT_ASSERT(!rowstoreserver::decodeTransaction("[]"));
        CPPUNIT_ASSERT(!rowstoreserver::decodeTransaction(R"({"setKeys":[{"table":"t","key":"k","value":"?"}]})"));
        CPPUNIT_ASSERT(!rowstoreserver::decodeRange("/rows-get"));
        CPPUNIT_ASSERT(!rowstoreserver::decodeRange("/rows-get?table=%zz"));
        CPPUNIT_ASSERT(!rowstoreserver::decodeFeed("/rows-feed?table=t&after=x&waitMs=1"));
        CPPUNIT_ASSERT(!rowstoreserver::decodeFeed("/rows-feed?table=%zz&after=1&waitMs=1"));
    }

    void registryEntry()
    {
        WorkerInfo worker;
        worker.key_ = { "w3", 17 };
        worker.machine_ = "m";
        worker.service_ = "s";
        worker.dataCentre_ = "z";
        worker.labels_ = { "a", "r1" };
        worker.rack_ = "r1";
        worker.endpoint_ = { "10.0.0.1", 80 };
        worker.capacity_ = { 64000, 131072, 8 };
        for (const bool isDraining : { false, true }) {
            worker.isDraining_ = isDraining;
            const auto decoded = RegistryRows().decode({ "w3", workerserver::encodeEntry(worker, 5), 1, false });
            CPPUNIT_ASSERT(decoded && *decoded == worker);
        }
    }

    void transaction()
    {
        const RowTransaction sent { "p", { { "t", "a", 0 }, { "t", "b", 18 } }, { { "t", "a", bytes }, { "t", "empty", "" } }, { { "t", "b" } } };
        const auto decoded = rowstoreserver::decodeTransaction(encodeTransaction(sent));
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(sent.part_, decoded->part_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), decoded->expectations_.size());
        CPPUNIT_ASSERT(decoded->expectations_[1].table_ == "t" && decoded->expectations_[1].key_ == "b" && decoded->expectations_[1].version_ == 18);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), decoded->expectations_[0].version_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), decoded->writes_.size());
        CPPUNIT_ASSERT(decoded->writes_[0].table_ == "t" && decoded->writes_[0].key_ == "a" && decoded->writes_[0].value_ == bytes && decoded->writes_[1].value_.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decoded->deletions_.size());
        CPPUNIT_ASSERT(decoded->deletions_[0].table_ == "t" && decoded->deletions_[0].key_ == "b");
    }

    void commitAnswers()
    {
        const RowTransaction sent { "p", { { "t", "a", 0 } }, {}, {} };
        const auto stored = decodePage(answerOf(rowstoreserver::encodeCommitAnswer(sent, StoreTimestamp { 41, 3521, {}, {} })).body_);
        CPPUNIT_ASSERT(stored && stored->timestamp_.version_ == 41 && stored->timestamp_.clockMs_ == 3521);
        const tl::unexpected<StoreFailure> conflict(StoreFailure { StoreFailureKind::Conflict, { { "a", bytes, 18, false } }, {} });
        const HttpAnswer answer = answerOf(rowstoreserver::encodeCommitAnswer(sent, conflict));
        CPPUNIT_ASSERT_EQUAL(412, answer.status_);
        const auto rows = decodePage(answer.body_);
        CPPUNIT_ASSERT(rows && rows->rows_.size() == 1);
        CPPUNIT_ASSERT(rows->rows_[0].key_ == "a" && rows->rows_[0].value_ == bytes && rows->rows_[0].version_ == 18);
        const tl::unexpected<StoreFailure> unknown(StoreFailure { StoreFailureKind::OutcomeUnknown, {}, {} });
        CPPUNIT_ASSERT(!rowstoreserver::encodeCommitAnswer(sent, unknown));
    }

    void readPages()
    {
        const auto whole = decodePage(answerOf(rowstoreserver::encodePageAnswer("t", "p", pageOf(3, 5, 90))).body_);
        CPPUNIT_ASSERT(whole && whole->rows_.size() == 3 && !whole->hasMore_ && whole->timestamp_.version_ == 90);
        CPPUNIT_ASSERT(whole->rows_[2].key_ == "k2" && whole->rows_[2].value_ == bytes && whole->rows_[2].version_ == 7);
        const auto cut = decodePage(answerOf(rowstoreserver::encodePageAnswer("t", "p", pageOf(501, 5, 9000))).body_);
        CPPUNIT_ASSERT(cut && cut->rows_.size() == 500 && cut->hasMore_);
        // The changes of a feed from this version complete the pages, so it is the version of the read.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9000), cut->timestamp_.version_);
    }

    void feedPages()
    {
        RowPage page = pageOf(502, 5, 9000);
        const auto cut = decodePage(answerOf(rowstoreserver::encodeFeedAnswer("t", page)).body_);
        CPPUNIT_ASSERT(cut && cut->rows_.size() == 500);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(504), cut->timestamp_.version_);
        // The 500th row's transaction is returned as a whole.
        page.rows_[500].version_ = page.rows_[499].version_;
        const auto extended = decodePage(answerOf(rowstoreserver::encodeFeedAnswer("t", page)).body_);
        CPPUNIT_ASSERT(extended && extended->rows_.size() == 501);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(504), extended->timestamp_.version_);
        page.rows_ = { { "gone", {}, 8, true } };
        const auto deletion = decodePage(answerOf(rowstoreserver::encodeFeedAnswer("t", page)).body_);
        CPPUNIT_ASSERT(deletion && deletion->rows_.size() == 1 && deletion->rows_[0].isDeleted_ && deletion->rows_[0].key_ == "gone");
    }

    void queries()
    {
        const std::string key = "a/b c&d=é";
        const auto range = rowstoreserver::decodeRange("/rows-get?table=t&part=" + percentEncode("p+q") + "&from=" + percentEncode(key) + "&target=" + percentEncode(key + "~"));
        CPPUNIT_ASSERT(range && range->table_ == "t" && range->part_ == "p+q" && range->from_ == key && range->to_ == key + "~");
        const auto feed = rowstoreserver::decodeFeed("/rows-feed?table=t&after=18446744073709551615&waitMs=2000");
        CPPUNIT_ASSERT(feed && feed->after_ == UINT64_MAX && feed->wait_ == std::chrono::seconds(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformServerTest);
