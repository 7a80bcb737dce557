#include "pool/virtualpool.h"

#include <cppunit/extensions/HelperMacros.h>
#include <numeric>
#include <random>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

constexpr Resources workerCapacity { 64000, 256000, 8 };
constexpr int workersPerRack = 8;

TaskId taskOf(const std::string& job, int index)
{
    return { job, 0, 0, index };
}

std::vector<int> rackOf(int rack)
{
    std::vector<int> workers(workersPerRack);
    std::iota(workers.begin(), workers.end(), rack * workersPerRack);
    return workers;
}

void assertNoViolations(const VirtualPool& pool)
{
    CPPUNIT_ASSERT_MESSAGE(pool.violations().empty() ? "" : pool.violations().front(), pool.violations().empty());
}

/** Whether all jobs have completed. */
bool haveCompleted(const VirtualPool& pool, const std::vector<std::string>& jobs)
{
    return std::all_of(jobs.begin(), jobs.end(), [&pool](const std::string& job) { return pool.state(job) == PoolJobState::Completed; });
}

/** A scheduler, one worker and one job, in the steps of a failover. */
class CrashedScheduler {
public:
    static constexpr const char* jobId = "00000000000000aa";
    static constexpr Time start { 1000s };

    explicit CrashedScheduler(const PoolJobRecord* record = nullptr)
    {
        StepSpec step;
        step.resources_ = { 1000, 1000, 1 };
        step.estimate_ = 5s;
        PoolJobSpec spec;
        spec.steps_.push_back(step);
        JobPolicy policy;
        policy.service_ = "service";
        policy.maxAttempts_ = 3;
        scheduler_.addJob(jobId, spec, policy, start, record, start);
    }

    /** The first character of the id names the machine. */
    static WorkerInfo worker(const std::string& id, std::int64_t born)
    {
        WorkerInfo info;
        info.key_ = { id, born };
        info.machine_ = id.substr(0, 1);
        info.service_ = "service";
        info.rack_ = "r0";
        info.capacity_ = workerCapacity;
        return info;
    }

    void add(const std::string& id, std::int64_t born, Time now)
    {
        scheduler_.putWorker(worker(id, born), now);
        scheduler_.setReachable({ id, born });
    }

    /** Starts the task, and its worker answers. */
    RunId startTask(Time now)
    {
        RunId run = startWithoutAnswer(now);
        scheduler_.startAnswered(run, StartAnswer::Accepted, now + 1ms);
        return run;
    }

    /** Starts the task, which its worker doesn't answer. */
    RunId startWithoutAnswer(Time now)
    {
        scheduler_.schedule(now, 0);
        const Decisions decisions = scheduler_.takeDecisions();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.starts_.size());
        RunId run = decisions.starts_.front().run_;
        scheduler_.beginStart(run, now);
        scheduler_.startSent(run, now);
        scheduler_.startUnanswered(run);
        return run;
    }

    TaskCrashes crashes() const { return scheduler_.state().jobs_.at(jobId).crashesOf(taskOf(jobId, 0)); }
    PoolJobState state() const { return scheduler_.state().jobs_.at(jobId).state_; }

    PoolScheduler scheduler_;
};

constexpr Time start = CrashedScheduler::start;

}

/** Tasks that crash workers are given up in time, and no others for it. */
class CrashTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashTest);
    CPPUNIT_TEST(deadlyTaskIsGivenUp);
    CPPUNIT_TEST(deadlyTaskAmongTasksOfOtherJobs);
    CPPUNIT_TEST(burstOfDeadlyJobs);
    CPPUNIT_TEST(gangWithDeadlyMember);
    CPPUNIT_TEST(taskThatCrashesLater);
    CPPUNIT_TEST(probeIsKeptApart);
    CPPUNIT_TEST(crashesByRackBlameNobody);
    CPPUNIT_TEST(crashesAtRandomBlameNobody);
    CPPUNIT_TEST(workerThatCrashesAgainAndAgain);
    CPPUNIT_TEST(silenceIsNoCrash);
    CPPUNIT_TEST(silentWorkerThatIsReplacedHasCrashed);
    CPPUNIT_TEST(workerThatLeavesHasNotCrashed);
    CPPUNIT_TEST(countOutlivesScheduler);
    CPPUNIT_TEST(crashUnderTheFormerScheduler);
    CPPUNIT_TEST(startIsNotRepeatedToRestartedWorker);
    CPPUNIT_TEST(survivedStartClearsTheTask);
    CPPUNIT_TEST(workerOfOtherServiceOnTheMachineEndsNothing);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against two runs of one task: a worker of another service that shares a machine was taken for the next one on it. */
    void workerOfOtherServiceOnTheMachineEndsNothing()
    {
        CrashedScheduler scheduler;
        scheduler.add("m1", 1, start);
        scheduler.startTask(start);
        WorkerInfo other = CrashedScheduler::worker("m2", 2);
        other.service_ = "other";
        scheduler.scheduler_.putWorker(other, start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), scheduler.scheduler_.state().workers_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scheduler.scheduler_.state().runs_.size());
        CPPUNIT_ASSERT_EQUAL(0, scheduler.crashes().total_);
        scheduler.add("m3", 3, start + 2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), scheduler.scheduler_.state().workers_.size());
        CPPUNIT_ASSERT_EQUAL(1, scheduler.crashes().total_);
    }

    /** Guards against starting a task again and again that crashes each worker. */
    void deadlyTaskIsGivenUp()
    {
        VirtualPool pool;
        pool.addWorkers(8, workersPerRack, workerCapacity);
        const std::string job = pool.submit(tasksOf(1, 5s), 1);
        pool.setDeadly(job, 0);
        pool.advance(30s);
        CPPUNIT_ASSERT(pool.state(job) == PoolJobState::Failed);
        CPPUNIT_ASSERT_EQUAL(2, pool.startsOf(taskOf(job, 0)));
        assertNoViolations(pool);
    }

    /** Guards against blaming the tasks that were started beside the guilty one. */
    void deadlyTaskAmongTasksOfOtherJobs()
    {
        VirtualPool pool;
        pool.addWorkers(8, workersPerRack, workerCapacity);
        std::vector<std::string> others;
        others.reserve(13);
        for (int i = 0; i < 3; ++i)
            others.push_back(pool.submit(tasksOf(2, 5s), 1));
        const std::string deadly = pool.submit(tasksOf(1, 5s), 1);
        pool.setDeadly(deadly, 0);
        for (int i = 0; i < 10; ++i)
            others.push_back(pool.submit(tasksOf(3, 5s), 1));
        pool.advance(40s);
        CPPUNIT_ASSERT(pool.state(deadly) == PoolJobState::Failed);
        CPPUNIT_ASSERT(pool.startsOf(taskOf(deadly, 0)) <= 3);
        CPPUNIT_ASSERT(haveCompleted(pool, others));
        assertNoViolations(pool);
    }

    /** Deadly jobs and others arrive for 20 s: the deadly ones are given up, the others complete. */
    void burstOfDeadlyJobs()
    {
        VirtualPool pool;
        pool.addWorkers(48, workersPerRack, workerCapacity);
        std::mt19937 random(7);
        std::vector<std::string> deadly;
        std::vector<std::string> others;
        for (int i = 0; i < 60; ++i) {
            const std::string job = pool.submit(tasksOf(1 + static_cast<int>(random() % 4), 4s), static_cast<int>(random() % 3));
            if (random() % 3 == 0) {
                pool.setDeadly(job, 0);
                deadly.push_back(job);
            } else {
                others.push_back(job);
            }
            pool.advance(330ms);
        }
        pool.advance(60s);
        for (const std::string& job : deadly)
            CPPUNIT_ASSERT(pool.state(job) == PoolJobState::Failed);
        CPPUNIT_ASSERT(haveCompleted(pool, others));
        assertNoViolations(pool);
    }

    /** Guards against counting for the gang what each of its members saw, or nothing at all. */
    void gangWithDeadlyMember()
    {
        VirtualPool pool;
        pool.addWorkers(48, workersPerRack, workerCapacity);
        const std::string deadly = pool.submit(gangOf(12, 4, 6s), 1);
        pool.setDeadly(deadly, 7);
        std::vector<std::string> others;
        others.reserve(6);
        for (int i = 0; i < 6; ++i)
            others.push_back(pool.submit(gangOf(8, 4, 6s), 1));
        pool.advance(60s);
        CPPUNIT_ASSERT(pool.state(deadly) == PoolJobState::Failed);
        CPPUNIT_ASSERT(haveCompleted(pool, others));
        assertNoViolations(pool);
    }

    /** Guards against a rule that fits only tasks that crash their workers at once. */
    void taskThatCrashesLater()
    {
        for (const Duration timeToCrash : { Duration(800ms), Duration(2s), Duration(4s) }) {
            VirtualPool pool;
            pool.addWorkers(8, workersPerRack, workerCapacity);
            const std::string deadly = pool.submit(tasksOf(1, 6s), 1);
            pool.setDeadly(deadly, 0, timeToCrash);
            std::vector<std::string> others;
            for (int i = 0; i < 40; ++i) {
                others.push_back(pool.submit(tasksOf(1, 3s), 1));
                pool.advance(700ms);
            }
            pool.advance(60s);
            CPPUNIT_ASSERT(pool.state(deadly) == PoolJobState::Failed);
            assertNoViolations(pool);
            // What has been at work beside a task that crashes later can't be told from it yet.
            if (timeToCrash < 1s)
                CPPUNIT_ASSERT(haveCompleted(pool, others));
        }
    }

    /** A suspected task gets a worker on which nothing else is starting, and nothing starts beside it until it is at work. */
    void probeIsKeptApart()
    {
        VirtualPool pool;
        pool.addWorkers(2, workersPerRack, workerCapacity);
        const std::string deadly = pool.submit(tasksOf(1, 5s), 1);
        pool.setDeadly(deadly, 0);
        pool.advance(3050ms); // the worker is back
        CPPUNIT_ASSERT_EQUAL(2, pool.startsOf(taskOf(deadly, 0)));
        CPPUNIT_ASSERT_EQUAL(2, pool.crashCount());
        CPPUNIT_ASSERT_EQUAL(0, pool.innocentRunsLost());
    }

    /** Guards against blaming tasks for racks that crash, with busy and idle workers, again and again. */
    void crashesByRackBlameNobody()
    {
        VirtualPool pool;
        pool.addWorkers(48, workersPerRack, workerCapacity);
        std::mt19937 random(11);
        std::vector<std::string> jobs;
        for (int i = 0; i < 240; ++i) {
            jobs.push_back(pool.submit(tasksOf(1 + static_cast<int>(random() % 8), 5s), static_cast<int>(random() % 3)));
            if (i % 12 == 11)
                pool.crash(rackOf(static_cast<int>(random() % 6)));
            pool.advance(250ms);
        }
        pool.advance(60s);
        CPPUNIT_ASSERT(pool.innocentRunsLost() > 100);
        CPPUNIT_ASSERT(haveCompleted(pool, jobs));
        assertNoViolations(pool);
    }

    /** Guards against blaming tasks for workers that crash one by one. */
    void crashesAtRandomBlameNobody()
    {
        VirtualPool pool;
        pool.addWorkers(48, workersPerRack, workerCapacity);
        std::mt19937 random(13);
        std::vector<std::string> jobs;
        for (int i = 0; i < 240; ++i) {
            jobs.push_back(pool.submit(tasksOf(1 + static_cast<int>(random() % 8), 5s), static_cast<int>(random() % 3)));
            if (i % 2 == 0)
                pool.crash({ static_cast<int>(random() % 48) });
            pool.advance(250ms);
        }
        pool.advance(60s);
        CPPUNIT_ASSERT(pool.innocentRunsLost() > 100);
        CPPUNIT_ASSERT(haveCompleted(pool, jobs));
        assertNoViolations(pool);
    }

    /** Guards against blaming a task that is placed on the same bad worker each time. */
    void workerThatCrashesAgainAndAgain()
    {
        VirtualPool pool;
        pool.addWorkers(4, workersPerRack, workerCapacity);
        std::vector<std::string> jobs;
        for (int i = 0; i < 60; ++i) {
            jobs.push_back(pool.submit(tasksOf(4, 3s), 1));
            pool.advance(500ms);
            if (i % 2 == 0)
                pool.crash({ 0 }, 700ms);
        }
        pool.advance(60s);
        CPPUNIT_ASSERT(haveCompleted(pool, jobs));
        assertNoViolations(pool);
    }

    /** Guards against taking silence for a crash: the runs of a worker that is cut off are given up with its lease, and it comes back. */
    void silenceIsNoCrash()
    {
        CrashedScheduler pool;
        pool.add("w1", 1, start);
        for (int i = 0; i < 6; ++i) {
            const Time now = start + i * 20s;
            pool.startTask(now);
            pool.scheduler_.setSilent({ "w1", 1 }, now + 5ms, now + 5ms);
            pool.scheduler_.workerLapsed({ "w1", 1 }, now + 10s);
            pool.scheduler_.report({ "w1", 1 }, {}, now + 11s, now + 11s);
            pool.add("w1", 1, now + 12s);
        }
        CPPUNIT_ASSERT_EQUAL(0, pool.crashes().total_);
        CPPUNIT_ASSERT(pool.state() == PoolJobState::Running);
    }

    /** Guards against missing a crash since the worker was down for longer than its lease. */
    void silentWorkerThatIsReplacedHasCrashed()
    {
        CrashedScheduler pool;
        pool.add("w1", 1, start);
        pool.startTask(start);
        pool.scheduler_.setSilent({ "w1", 1 }, start + 5ms, start + 5ms);
        pool.scheduler_.delistWorker("w1");
        pool.scheduler_.workerLapsed({ "w1", 1 }, start + 10s);
        CPPUNIT_ASSERT_EQUAL(0, pool.crashes().total_);
        pool.add("w2", 2, start + 12s);
        CPPUNIT_ASSERT_EQUAL(1, pool.crashes().total_);
        CPPUNIT_ASSERT_EQUAL(1, pool.crashes().atStart_);
    }

    void workerThatLeavesHasNotCrashed()
    {
        CrashedScheduler pool;
        pool.add("w1", 1, start);
        pool.startTask(start);
        WorkerInfo info = CrashedScheduler::worker("w1", 1);
        info.isDraining_ = true;
        pool.scheduler_.putWorker(info, start + 5ms);
        pool.add("w2", 2, start + 3s);
        CPPUNIT_ASSERT_EQUAL(0, pool.crashes().total_);
    }

    /** Guards against a count that ends with its scheduler. */
    void countOutlivesScheduler()
    {
        CrashedScheduler first;
        first.add("w1", 1, start);
        first.startTask(start);
        first.scheduler_.setSilent({ "w1", 1 }, start + 5ms, start + 5ms);
        first.add("w2", 2, start + 3s);
        PoolJobRecord record;
        CPPUNIT_ASSERT(decodePoolJobRecord(encodePoolJobRecord(first.scheduler_.record(CrashedScheduler::jobId)), record));
        CrashedScheduler second(&record);
        CPPUNIT_ASSERT_EQUAL(1, second.crashes().atStart_);
        second.add("x1", 1, start + 4s);
        second.startTask(start + 4s);
        second.scheduler_.setSilent({ "x1", 1 }, start + 4005ms, start + 4005ms);
        second.add("x2", 2, start + 7s);
        CPPUNIT_ASSERT(second.state() == PoolJobState::Failed);
    }

    /** Guards against missing a crash that the scheduler didn't live to record; it knows the worker's machine from the record. */
    void crashUnderTheFormerScheduler()
    {
        CrashedScheduler first;
        first.add("w1", 1, start);
        first.startWithoutAnswer(start);
        PoolJobRecord record;
        CPPUNIT_ASSERT(decodePoolJobRecord(encodePoolJobRecord(first.scheduler_.record(CrashedScheduler::jobId)), record));
        CrashedScheduler second(&record);
        second.add("w2", 2, start + 4s);
        CPPUNIT_ASSERT_EQUAL(1, second.crashes().total_);
        CPPUNIT_ASSERT(second.crashes().areSuspicious());
        // Its task starts again at once, not when the lease has expired.
        second.add("x1", 1, start + 4s);
        second.startWithoutAnswer(start + 4001ms);
    }

    /** Guards against crashing one incarnation after the other by a start that none of them answers. */
    void startIsNotRepeatedToRestartedWorker()
    {
        CrashedScheduler pool;
        pool.add("w1", 1, start);
        pool.startTask(start);
        pool.scheduler_.setSilent({ "w1", 1 }, start + 5ms, start + 5ms);
        pool.add("w2", 2, start + 3s);
        pool.add("x1", 1, start + 3s);
        const RunId run = pool.startWithoutAnswer(start + 3s);
        CPPUNIT_ASSERT(pool.scheduler_.isStartWanted(run));
        pool.scheduler_.workerRestarted({ "x1", 1 }, { "x1", 2 }, start + 3500ms);
        pool.add("x1", 2, start + 3510ms);
        CPPUNIT_ASSERT_EQUAL(2, pool.crashes().total_);
        CPPUNIT_ASSERT(!pool.scheduler_.isStartWanted(run));
    }

    /** A task under which a worker crashed by chance is cleared by a run that goes on. */
    void survivedStartClearsTheTask()
    {
        CrashedScheduler pool;
        pool.add("w1", 1, start);
        pool.startTask(start);
        pool.scheduler_.setSilent({ "w1", 1 }, start + 5ms, start + 5ms);
        pool.add("w2", 2, start + 3s);
        pool.add("x1", 1, start + 3s);
        const RunId run = pool.startTask(start + 3s);
        PoolWorkerReport report;
        report.running_ = { { run, "", 20 } };
        pool.scheduler_.report({ "x1", 1 }, report, start + 3900ms, start + 3901ms);
        CPPUNIT_ASSERT_EQUAL(1, pool.crashes().atStart_);
        pool.scheduler_.report({ "x1", 1 }, report, start + 4100ms, start + 4101ms);
        CPPUNIT_ASSERT_EQUAL(0, pool.crashes().total_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTest);

/** Guards against giving up what has been at work beside a task that crashes its worker seconds after its start. */
class LateCrashTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LateCrashTest);
    CPPUNIT_TEST(neighboursOfTaskThatCrashesLater);
    CPPUNIT_TEST_SUITE_END();

    void neighboursOfTaskThatCrashesLater()
    {
        for (const Duration timeToCrash : { Duration(2s), Duration(4s) }) {
            VirtualPool pool;
            pool.addWorkers(8, workersPerRack, workerCapacity);
            pool.setDeadly(pool.submit(tasksOf(1, 6s), 1), 0, timeToCrash);
            std::vector<std::string> others(40);
            for (std::string& other : others) {
                other = pool.submit(tasksOf(1, 3s), 1);
                pool.advance(700ms);
            }
            pool.advance(60s);
            CPPUNIT_ASSERT(haveCompleted(pool, others));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LateCrashTest, "latecrash");
