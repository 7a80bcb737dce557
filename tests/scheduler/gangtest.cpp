#include "scheduler/fakeworkers.h"
#include "scheduler/indexedfinder.h"
#include "support/property.h"

namespace fescuecleat {

namespace {

    constexpr Duration second = std::chrono::seconds(1);

    JobSubmitted jobOf(const std::string& id, int tasks, int accelerators)
    {
        JobSubmitted submitted;
        submitted.spec_.id_ = JobId(id);
        submitted.spec_.organisation_ = OrganisationId("studio");
        submitted.spec_.tasks_ = tasks;
        submitted.spec_.shape_.accelerators_ = accelerators;
        return submitted;
    }

}

/** Life cycle of one gang under lost messages, lost workers and expired permits. */
class GangTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GangTest);
    CPPUNIT_TEST(runsAndFinishes);
    CPPUNIT_TEST(workerLostBetweenPrepareAndStart);
    CPPUNIT_TEST(lostStartIsSentAgain);
    CPPUNIT_TEST(lateStartConfirmationAfterStop);
    CPPUNIT_TEST(lateRefusalOfARunningTask);
    CPPUNIT_TEST(noStartWithoutPermit);
    CPPUNIT_TEST(noStartAfterTakingOut);
    CPPUNIT_TEST(nonIdempotentIsStartedOnce);
    CPPUNIT_TEST(newLeaseHolderAdoptsRunningGang);
    CPPUNIT_TEST(newLeaseHolderStopsGangWithMissingTask);
    CPPUNIT_TEST(refusalFromAnEarlierTermKeepsTheRun);
    CPPUNIT_TEST(answerFromAnEarlierTermKeepsTheAccelerators);
    CPPUNIT_TEST(unknownTaskHoldsTheMemoryOfItsLatestReport);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        workers_.setPermit(now_ + 100 * second);
        workers_.handle(scheduler_, ConfigurationChanged {}, now_);
        workers_.handle(scheduler_, StartPermitExtended { now_ + 100 * second }, now_);
        workers_.join(scheduler_, 4, 2, now_);
    }

    void runsAndFinishes()
    {
        submitAndRun(jobOf("a", 4, 4));
        CPPUNIT_ASSERT_EQUAL(4, workers_.count(TaskState::Running));
        for (const TaskKey& key : workers_.runningTasks())
            workers_.endTask(scheduler_, key, TaskState::Finished, now_);
        CPPUNIT_ASSERT(recorded("a") == JobState::Finished);
    }

    void workerLostBetweenPrepareAndStart()
    {
        workers_.handle(scheduler_, jobOf("a", 4, 8), now_);
        workers_.deliver(scheduler_, 3, now_);
        workers_.loseWorker(scheduler_, WorkerId("w103"), now_);
        CPPUNIT_ASSERT_EQUAL(0, workers_.startsOf(JobId("a")));
        workers_.deliverAll(scheduler_, now_);
        CPPUNIT_ASSERT_EQUAL(0, workers_.count(TaskState::Running) + workers_.count(TaskState::Prepared));
        CPPUNIT_ASSERT(recorded("a") == JobState::Queued);
        workers_.join(scheduler_, 4, 2, now_);
        workers_.deliverAll(scheduler_, now_);
        CPPUNIT_ASSERT(recorded("a") == JobState::Running);
    }

    void lostStartIsSentAgain()
    {
        workers_.handle(scheduler_, jobOf("a", 2, 8), now_);
        workers_.deliver(scheduler_, 2, now_);
        workers_.dropMessage();
        workers_.deliverAll(scheduler_, now_);
        CPPUNIT_ASSERT_EQUAL(1, workers_.count(TaskState::Running));
        now_ = workers_.advanceTime(scheduler_, now_, 10 * second);
        CPPUNIT_ASSERT(recorded("a") == JobState::Running);
    }

    void lateStartConfirmationAfterStop()
    {
        submitAndRun(jobOf("a", 2, 8));
        const TaskKey task = workers_.runningTasks().front();
        const WorkerId worker = workers_.tasks().at(task).first;
        workers_.handle(scheduler_, JobCancelled { JobId("a") }, now_);
        workers_.deliverAll(scheduler_, now_);
        CPPUNIT_ASSERT(recorded("a") == JobState::Cancelled);
        TaskReported late;
        late.task_ = task;
        late.worker_ = worker;
        late.state_ = TaskState::Running;
        workers_.handle(scheduler_, late, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, workers_.messages().size());
        CPPUNIT_ASSERT(std::holds_alternative<StopTask>(workers_.messages().front()));
        // The late report must not keep resources from the next job.
        submitAndRun(jobOf("b", 4, 8));
        CPPUNIT_ASSERT(recorded("b") == JobState::Running);
    }

    /** Guards against giving up a run because a repeated start was not delivered after the first had taken effect. */
    void lateRefusalOfARunningTask()
    {
        submitAndRun(jobOf("a", 2, 8));
        const TaskKey task = workers_.runningTasks().front();
        workers_.handle(scheduler_, TaskRefused { task, workers_.tasks().at(task).first, "not reached" }, now_);
        workers_.deliverAll(scheduler_, now_);
        CPPUNIT_ASSERT_EQUAL(2, workers_.count(TaskState::Running));
        CPPUNIT_ASSERT_EQUAL(1, workers_.startsOf(JobId("a")));
    }

    void noStartWithoutPermit()
    {
        now_ += 95 * second;
        workers_.handle(scheduler_, jobOf("a", 2, 8), now_);
        now_ += 5 * second;
        workers_.deliverAll(scheduler_, now_);
        CPPUNIT_ASSERT_EQUAL(2, workers_.count(TaskState::Prepared));
        CPPUNIT_ASSERT_EQUAL(0, workers_.startsOf(JobId("a")));
        workers_.setPermit(now_ + second);
        workers_.handle(scheduler_, StartPermitExtended { now_ + second }, now_);
        workers_.deliverAll(scheduler_, now_);
        CPPUNIT_ASSERT_EQUAL(2, workers_.count(TaskState::Running));
    }

    void noStartAfterTakingOut()
    {
        workers_.handle(scheduler_, jobOf("a", 2, 8), now_);
        workers_.setTakenOut(true);
        workers_.handle(scheduler_, DataCentreTakenOut { now_ + 60 * second }, now_);
        workers_.deliverAll(scheduler_, now_);
        CPPUNIT_ASSERT(recorded("a") == JobState::Queued);
        CPPUNIT_ASSERT_EQUAL(0, workers_.startsOf(JobId("a")));
        workers_.setTakenOut(false);
        workers_.handle(scheduler_, DataCentreReturned {}, now_);
        workers_.deliverAll(scheduler_, now_);
        CPPUNIT_ASSERT(recorded("a") == JobState::Running);
    }

    void nonIdempotentIsStartedOnce()
    {
        JobSubmitted job = jobOf("a", 2, 8);
        job.spec_.isIdempotent_ = false;
        submitAndRun(job);
        workers_.loseWorker(scheduler_, workers_.tasks().begin()->second.first, now_);
        workers_.deliverAll(scheduler_, now_);
        CPPUNIT_ASSERT(recorded("a") == JobState::Unknown);
        CPPUNIT_ASSERT_EQUAL(1, workers_.startsOf(JobId("a")));
    }

    void newLeaseHolderAdoptsRunningGang()
    {
        submitAndRun(jobOf("a", 2, 8));
        SchedulerCore next = nextLeaseHolder(jobOf("a", 2, 8));
        workers_.reportAll(next, now_);
        workers_.deliverAll(next, now_);
        CPPUNIT_ASSERT_EQUAL(2, workers_.count(TaskState::Running));
        CPPUNIT_ASSERT_EQUAL(1, workers_.startsOf(JobId("a")));
    }

    void newLeaseHolderStopsGangWithMissingTask()
    {
        submitAndRun(jobOf("a", 2, 8));
        SchedulerCore next = nextLeaseHolder(jobOf("a", 2, 8));
        workers_.loseWorker(next, workers_.tasks().begin()->second.first, now_);
        workers_.reportAll(next, now_);
        CPPUNIT_ASSERT(std::holds_alternative<StopTask>(workers_.messages().front()));
        workers_.deliverAll(next, now_);
        CPPUNIT_ASSERT(recorded("a") == JobState::Running);
        CPPUNIT_ASSERT_EQUAL(2, workers_.records().at(JobId("a")).attempt_);
    }

    /** Guards against giving up a run that is not confirmed yet because a command of the term before ends without its worker. */
    void refusalFromAnEarlierTermKeepsTheRun()
    {
        submitAndRun(jobOf("a", 2, 8));
        SchedulerCore next = nextLeaseHolder(jobOf("a", 2, 8));
        const TaskKey task = workers_.runningTasks().front();
        workers_.handle(next, TaskRefused { task, workers_.tasks().at(task).first, "not reached" }, now_);
        workers_.reportAll(next, now_);
        workers_.deliverAll(next, now_);
        CPPUNIT_ASSERT_EQUAL(2, workers_.count(TaskState::Running));
        CPPUNIT_ASSERT_EQUAL(1, workers_.startsOf(JobId("a")));
    }

    /** Guards against placing tasks on the accelerators of a run that was confirmed by an answer to a command of the term before. */
    void answerFromAnEarlierTermKeepsTheAccelerators()
    {
        submitAndRun(jobOf("a", 4, 8));
        SchedulerCore next = nextLeaseHolder(jobOf("a", 4, 8));
        for (const auto& [task, placed] : workers_.tasks()) {
            TaskReported answer;
            answer.task_ = task;
            answer.worker_ = placed.first;
            answer.state_ = TaskState::Running;
            workers_.handle(next, answer, now_);
        }
        workers_.reportAll(next, now_);
        workers_.handle(next, jobOf("b", 1, 8), now_);
        CPPUNIT_ASSERT(workers_.messages().empty());
    }

    /** Guards against placing tasks into the memory of one whose job is not known yet and whose first report came before its usage. */
    void unknownTaskHoldsTheMemoryOfItsLatestReport()
    {
        for (const std::int64_t gigabytes : { 0, 200 }) {
            for (int index = 0; index < 4; ++index) {
                TaskReported reported;
                reported.task_ = TaskKey { JobId("unknown"), 1, index };
                reported.worker_ = WorkerId("w" + std::to_string(100 + index));
                reported.state_ = TaskState::Running;
                reported.accelerators_ = { 0 };
                reported.memoryBytes_ = gigabytes << 30;
                workers_.handle(scheduler_, reported, now_);
            }
        }
        JobSubmitted job = jobOf("a", 1, 1);
        job.spec_.shape_.memoryBytes_ = 100LL << 30;
        workers_.handle(scheduler_, job, now_);
        CPPUNIT_ASSERT(workers_.messages().empty());
    }

private:
    void submitAndRun(const JobSubmitted& job)
    {
        workers_.handle(scheduler_, job, now_);
        workers_.deliverAll(scheduler_, now_);
    }

    JobState recorded(const std::string& job) const { return workers_.records().at(JobId(job)).state_; }

    SchedulerCore nextLeaseHolder(JobSubmitted job)
    {
        const RecordJob& record = workers_.records().at(job.spec_.id_);
        job.state_ = record.state_;
        job.attempts_ = record.attempt_;
        job.placement_ = record.placement_;
        SchedulerCore next { std::make_unique<IndexedFinder>() };
        workers_.handle(next, StartPermitExtended { now_ + 100 * second }, now_);
        workers_.handle(next, ConfigurationChanged {}, now_);
        workers_.handle(next, job, now_);
        return next;
    }

    SchedulerCore scheduler_ { std::make_unique<IndexedFinder>() };
    FakeWorkers workers_;
    Time now_ { std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangTest);

}
