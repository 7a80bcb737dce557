#include "pool/placementexplainer.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

constexpr Time start { 1000s };
constexpr const char* ordinaryJob = "00000000000000aa";

StepSpec step(int tasks, std::int64_t accelerators)
{
    StepSpec spec;
    spec.taskCount_ = tasks;
    spec.resources_ = { 1000, 1000, accelerators };
    spec.estimate_ = 5s;
    return spec;
}

JobPolicy policy(int priority)
{
    JobPolicy result;
    result.queue_ = "queue";
    result.service_ = "service";
    result.organisation_ = "organisation";
    result.priority_ = priority;
    result.stretch_ = 3;
    return result;
}

/** Two workers of eight accelerators in one rack. */
PoolScheduler makeScheduler()
{
    PoolScheduler scheduler;
    for (const char* id : { "w1", "w2" }) {
        WorkerInfo info;
        info.key_ = { id, 1 };
        info.service_ = "service";
        info.rack_ = "r0";
        info.labels_ = { "a", "r0" };
        info.capacity_ = { 64000, 64000, 8 };
        scheduler.putWorker(info, start);
        scheduler.setReachable(info.key_);
    }
    return scheduler;
}

/** Fills both workers with one ordinary job. */
void fill(PoolScheduler& scheduler)
{
    scheduler.addJob(ordinaryJob, { {}, { step(16, 1) } }, policy(2), start, nullptr, start);
    scheduler.schedule(start, 0);
    for (const StartDecision& decision : scheduler.takeDecisions().starts_) {
        scheduler.beginStart(decision.run_, start);
        scheduler.startAnswered(decision.run_, StartAnswer::Accepted, start);
    }
}

PlacementExplanation explain(const PoolScheduler& scheduler, std::vector<StepSpec> steps, int priority)
{
    PoolJobSpec spec;
    spec.steps_ = std::move(steps);
    return PlacementExplainer(scheduler, start, 0).explain(std::move(spec), policy(priority));
}

}

/** What operators are told about a job that is not submitted. */
class PlacementExplainerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacementExplainerTest);
    CPPUNIT_TEST(namesTheWorkersOfAJobThatFits);
    CPPUNIT_TEST(changesNothing);
    CPPUNIT_TEST(namesTheJobsThatWouldBePreempted);
    CPPUNIT_TEST(tellsNoRoomFromNeverFitting);
    CPPUNIT_TEST(tellsAGangThatFitsInPart);
    CPPUNIT_TEST(explainsAKnownJob);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against an answer without the placement that operators ask for. */
    void namesTheWorkersOfAJobThatFits()
    {
        const PlacementExplanation result = explain(makeScheduler(), { step(2, 8), step(1, 1) }, 2);
        const std::map<std::string, int> expected { { "w1", 1 }, { "w2", 1 } };
        CPPUNIT_ASSERT(result.steps_[0].starts_ == expected);
        CPPUNIT_ASSERT(result.steps_[0].cause_ == WaitCause::None);
        CPPUNIT_ASSERT(result.preempted_.empty());
        CPPUNIT_ASSERT_EQUAL(0, result.jobsAhead_);
    }

    /** Guards against a question that starts or stops something, or leaves a job behind. */
    void changesNothing()
    {
        PoolScheduler scheduler = makeScheduler();
        fill(scheduler);
        explain(scheduler, { step(2, 8) }, 0);
        CPPUNIT_ASSERT(scheduler.takeDecisions().isEmpty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scheduler.state().jobs_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(16), scheduler.state().runs_.size());
        for (const auto& [run, taskRun] : scheduler.state().runs_)
            CPPUNIT_ASSERT(taskRun.phase_ == RunPhase::Running);
    }

    /** Guards against an answer that hides whose work would be stopped. */
    void namesTheJobsThatWouldBePreempted()
    {
        PoolScheduler scheduler = makeScheduler();
        fill(scheduler);
        const PlacementExplanation result = explain(scheduler, { step(1, 8) }, 0);
        const std::map<std::string, int> expected { { ordinaryJob, 8 } };
        CPPUNIT_ASSERT(result.preempted_ == expected);
        CPPUNIT_ASSERT(result.steps_[0].cause_ == WaitCause::RoomIsBeingFreed);
    }

    /** Guards against telling callers to wait for what can never start. */
    void tellsNoRoomFromNeverFitting()
    {
        PoolScheduler scheduler = makeScheduler();
        fill(scheduler);
        CPPUNIT_ASSERT(explain(scheduler, { step(1, 1) }, 2).steps_[0].cause_ == WaitCause::NoRoom);
        CPPUNIT_ASSERT(explain(scheduler, { step(1, 9) }, 2).steps_[0].cause_ == WaitCause::TaskTooLarge);
        StepSpec labelled = step(1, 1);
        labelled.requiredLabel_ = "b";
        CPPUNIT_ASSERT(explain(scheduler, { labelled }, 2).steps_[0].cause_ == WaitCause::NoSuitableWorker);
    }

    /** Guards against an answer that calls a gang startable since some of its members fit. */
    void tellsAGangThatFitsInPart()
    {
        StepSpec gang = step(3, 8);
        gang.isGang_ = true;
        StepSpec later = step(1, 1);
        later.after_ = { 0 };
        const PlacementExplanation result = explain(makeScheduler(), { gang, later }, 2);
        CPPUNIT_ASSERT(result.steps_[0].starts_.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), result.steps_[0].tasksWithRoom_);
        CPPUNIT_ASSERT(result.steps_[0].cause_ == WaitCause::GangDoesNotFit);
        CPPUNIT_ASSERT(result.steps_[1].cause_ == WaitCause::NotDue);
    }

    /** Guards against a waiting job that is counted as its own predecessor, or as unknown. */
    void explainsAKnownJob()
    {
        PoolScheduler scheduler = makeScheduler();
        fill(scheduler);
        scheduler.addJob("00000000000000bb", { {}, { step(4, 1) } }, policy(2), start, nullptr, start);
        PlacementExplainer explainer(scheduler, start, 0);
        const auto result = explainer.explain("00000000000000bb");
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), result->steps_[0].waitingTasks_);
        CPPUNIT_ASSERT_EQUAL(0, result->jobsAhead_);
        CPPUNIT_ASSERT(!PlacementExplainer(scheduler, start, 0).explain("00000000000000cc").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementExplainerTest);
