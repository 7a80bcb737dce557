#include "load/audit.h"
#include "load/expectedanswer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace fescuecleat;

/** Injects each kind of violation into evidence that is otherwise clean. */
class AuditTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AuditTest);
    CPPUNIT_TEST(cleanEvidencePasses);
    CPPUNIT_TEST(findsRequestStartedTwice);
    CPPUNIT_TEST(findsRefusedRequestThatRan);
    CPPUNIT_TEST(findsWrongPartialAndCrossedAnswers);
    CPPUNIT_TEST(findsRequestCutByPlannedStop);
    CPPUNIT_TEST(findsOverlappingAttempts);
    CPPUNIT_TEST(findsRestartOfNonIdempotentJob);
    CPPUNIT_TEST(findsPartialGang);
    CPPUNIT_TEST(findsFinishedJobWithUnfinishedTask);
    CPPUNIT_TEST(findsLostJob);
    CPPUNIT_TEST(findsStartAfterTakeOut);
    CPPUNIT_TEST(findsWorkAfterDrainDeadline);
    CPPUNIT_TEST(findsWorkToLeavingMinion);
    CPPUNIT_TEST(findsRevertedConfiguration);
    CPPUNIT_TEST(reportsIncompleteLogs);
    CPPUNIT_TEST_SUITE_END();

    Evidence evidence_;

    static Time at(double seconds) { return Time(Duration(static_cast<std::int64_t>(seconds * 1e6))); }

    void minion(double seconds, const std::string& event, const std::string& tag = "")
    {
        evidence_.log_.push_back({ LogSource::Minion, "catania", "m0", event, at(seconds), { { "tag", tag } } });
    }

    void worker(double seconds, const std::string& event, int attempt, int index)
    {
        evidence_.log_.push_back({ LogSource::Worker, "catania", "w0", event, at(seconds), { { "job", "j1" }, { "attempt", std::to_string(attempt) }, { "index", std::to_string(index) } } });
    }

    void expectOnly(ViolationKind kind)
    {
        const std::vector<Violation> found = audit(evidence_);
        CPPUNIT_ASSERT(!found.empty());
        for (const Violation& violation : found)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(violation.description_, std::string(violationKindName(kind)), std::string(violationKindName(violation.kind_)));
    }

    SentRequest& request() { return evidence_.requests_.front(); }
    SentJob& job() { return evidence_.jobs_.front(); }

    /** Adds a second attempt, in which both tasks finish after 10 s. */
    void runSecondAttempt(double start)
    {
        for (const int index : { 0, 1 })
            worker(start, "started", 2, index);
        for (const int index : { 0, 1 })
            worker(start + 10, "finished", 2, index);
    }

    void cleanEvidencePasses() { CPPUNIT_ASSERT(audit(evidence_).empty()); }

    void findsRequestStartedTwice()
    {
        minion(3, "started", "t1");
        CPPUNIT_ASSERT(audit(evidence_).empty());
        request().isIdempotent_ = false;
        expectOnly(ViolationKind::RanTwice);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, audit(evidence_).front().trace_.size());
    }

    void findsRefusedRequestThatRan()
    {
        request().outcome_ = SentOutcome::NotRun;
        expectOnly(ViolationKind::NotRunThatRan);
    }

    void findsWrongPartialAndCrossedAnswers()
    {
        const std::string right = request().answer_;
        for (const std::string& wrong : { std::string("wrong"), right.substr(0, right.size() - 1), expectedAnswer("check", "t2"), right + right }) {
            request().answer_ = wrong;
            expectOnly(ViolationKind::WrongAnswer);
        }
    }

    void findsRequestCutByPlannedStop()
    {
        request().outcome_ = SentOutcome::Cut;
        CPPUNIT_ASSERT(audit(evidence_).empty());
        evidence_.plannedStops_.push_back({ "e0", at(1.5), at(4) });
        expectOnly(ViolationKind::RequestCut);
    }

    void findsOverlappingAttempts()
    {
        evidence_.log_.clear();
        for (const int index : { 0, 1 })
            worker(5, "started", 1, index);
        runSecondAttempt(10);
        for (const int index : { 0, 1 })
            worker(11, "stopped", 1, index);
        evidence_.requests_.clear();
        expectOnly(ViolationKind::RanTwice);
    }

    void findsRestartOfNonIdempotentJob()
    {
        for (LogEntry& entry : evidence_.log_) {
            if (entry.event_ == "finished" && entry.source_ == LogSource::Worker)
                entry.event_ = "stopped";
        }
        runSecondAttempt(40);
        CPPUNIT_ASSERT(audit(evidence_).empty());
        job().isIdempotent_ = false;
        expectOnly(ViolationKind::RanTwice);
        for (LogEntry& entry : evidence_.log_) {
            if (entry.event_ == "stopped")
                entry.event_ = "checkpointed";
        }
        CPPUNIT_ASSERT(audit(evidence_).empty());
    }

    void findsPartialGang()
    {
        // The second task never starts while the first runs for 25 s.
        evidence_.log_.clear();
        evidence_.requests_.clear();
        worker(5, "prepared", 1, 1);
        worker(5, "started", 1, 0);
        worker(30, "stopped", 1, 0);
        job().state_ = "cancelled";
        expectOnly(ViolationKind::RanPartly);
        // The second task fails after 1 s while the first runs on for 24 s.
        evidence_.log_.clear();
        worker(5, "started", 1, 0);
        worker(5, "started", 1, 1);
        worker(6, "failed", 1, 1);
        worker(30, "stopped", 1, 0);
        expectOnly(ViolationKind::RanPartly);
    }

    void findsFinishedJobWithUnfinishedTask()
    {
        evidence_.log_.pop_back();
        evidence_.log_.pop_back();
        worker(30, "finished", 1, 0);
        worker(30, "failed", 1, 1);
        expectOnly(ViolationKind::RanPartly);
    }

    void findsLostJob()
    {
        job().state_ = "missing";
        expectOnly(ViolationKind::AcceptedWorkLost);
        job().state_ = "failed";
        expectOnly(ViolationKind::AcceptedWorkLost);
        evidence_.log_.back().event_ = "failed";
        CPPUNIT_ASSERT(audit(evidence_).empty());
    }

    void findsStartAfterTakeOut()
    {
        evidence_.takenOutDataCentres_.push_back({ "palermo", at(0), at(1), Time::max(), Time::max() });
        evidence_.takenOutDataCentres_.push_back({ "catania", at(4.5), Time::max(), Time::max(), Time::max() });
        evidence_.takenOutDataCentres_.push_back({ "catania", at(0), at(1), at(2), Time::max() });
        CPPUNIT_ASSERT(audit(evidence_).empty());
        evidence_.takenOutDataCentres_.push_back({ "catania", at(4), at(4.9), Time::max(), Time::max() });
        expectOnly(ViolationKind::StartAfterTakenOut);
    }

    void findsWorkAfterDrainDeadline()
    {
        evidence_.takenOutDataCentres_.push_back({ "catania", at(6), Time::max(), Time::max(), at(29) });
        CPPUNIT_ASSERT(audit(evidence_).empty());
        evidence_.takenOutDataCentres_.back().deadline_ = at(20);
        expectOnly(ViolationKind::RunningAfterDeadline);
        evidence_.takenOutDataCentres_.back().returnedAt_ = at(21);
        CPPUNIT_ASSERT(audit(evidence_).empty());
    }

    void findsWorkToLeavingMinion()
    {
        minion(40, "leaving");
        minion(42, "received", "t2");
        CPPUNIT_ASSERT(audit(evidence_).empty());
        minion(44, "received", "t3");
        expectOnly(ViolationKind::WorkToLeavingMinion);
    }

    void findsRevertedConfiguration()
    {
        evidence_.acceptedConfigurations_.push_back({ 2, at(1), at(2) });
        evidence_.reportedConfigurations_ = { { "e0", 1, at(1.5) }, { "e0", 2, at(3) } };
        CPPUNIT_ASSERT(audit(evidence_).empty());
        evidence_.reportedConfigurations_.push_back({ "e1", 1, at(3) });
        expectOnly(ViolationKind::ConfigurationReverted);
        evidence_.acceptedConfigurations_.clear();
        CPPUNIT_ASSERT(audit(evidence_).empty());
        evidence_.reportedConfigurations_.push_back({ "e0", 1, at(4) });
        expectOnly(ViolationKind::ConfigurationReverted);
    }

    void reportsIncompleteLogs()
    {
        evidence_.droppedLogEntries_ = 1;
        expectOnly(ViolationKind::IncompleteLog);
    }

public:
    void setUp() override
    {
        evidence_ = Evidence();
        SentRequest sent;
        sent.tag_ = "t1";
        sent.kind_ = "check";
        sent.body_ = "t1\nwork_ms=5\n";
        sent.entry_ = "e0";
        sent.sentAt_ = at(1);
        sent.endedAt_ = at(2);
        sent.outcome_ = SentOutcome::Answered;
        sent.answer_ = expectedAnswer(sent.kind_, sent.body_);
        evidence_.requests_.push_back(sent);
        minion(1, "received", "t1");
        minion(1, "started", "t1");
        minion(2, "finished", "t1");

        SentJob submitted;
        submitted.jobId_ = "j1";
        submitted.tasks_ = 2;
        submitted.state_ = "finished";
        evidence_.jobs_.push_back(submitted);
        for (const int index : { 0, 1 })
            worker(5, "started", 1, index);
        for (const int index : { 0, 1 })
            worker(30, "finished", 1, index);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AuditTest);
