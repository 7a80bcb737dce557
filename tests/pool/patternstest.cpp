#include "pool/virtualpool.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

const Resources worker { 64000, 262144, 8 };

void assertSound(const VirtualPool& pool)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(pool.violations().empty() ? "" : pool.violations().front(), std::size_t(0), pool.violations().size());
}

/** Percentile of the times to start. */
Duration startPercentile(const VirtualPool& pool, const std::vector<std::string>& jobs, double share)
{
    std::vector<Duration> times;
    times.reserve(jobs.size());
    for (const std::string& job : jobs)
        times.push_back(pool.timeToStart(job).value_or(Duration::max()));
    std::sort(times.begin(), times.end());
    return times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
}

}

/** Each test is a load that the users' installations see, with its bound. */
class PatternsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PatternsTest);
    CPPUNIT_TEST(burstOfUrgentGangs);
    CPPUNIT_TEST(guaranteeReclaimedUnderLoad);
    CPPUNIT_TEST(largeGangAmongSmallTasks);
    CPPUNIT_TEST(smallTasksFillRacksOneAfterTheOther);
    CPPUNIT_TEST(cheapestVictimsInOneRack);
    CPPUNIT_TEST(workThatSavesLeavesADrainingWorker);
    CPPUNIT_TEST(dataCentreTakenOutAndBack);
    CPPUNIT_TEST(gangMovesOffASlowWorker);
    CPPUNIT_TEST(finishedMembersAreNotTakenForStalled);
    CPPUNIT_TEST(workerThatFailsEverything);
    CPPUNIT_TEST(hopelessJobEndsAsFailed);
    CPPUNIT_TEST(cancelWave);
    CPPUNIT_TEST(urgentGangsComeInWaves);
    CPPUNIT_TEST(overdueGangUsesTheHeadroom);
    CPPUNIT_TEST(workIsWeighedByProgressAfterATakeover);
    CPPUNIT_TEST(wrongEstimates);
    CPPUNIT_TEST_SUITE_END();

    /** Urgent gangs in a pool full of preemptible work all start within the reclaim bound. */
    void burstOfUrgentGangs()
    {
        VirtualPool pool;
        pool.addWorkers(24, 8, worker);
        for (int i = 0; i < 12; ++i)
            pool.submit(tasksOf(16, 20s), 2);
        pool.advance(1s);
        std::vector<std::string> urgent;
        urgent.reserve(32);
        for (int i = 0; i < 8; ++i)
            urgent.push_back(pool.submit(gangOf(3, 4, 2500ms), 0));
        pool.advance(4s);
        CPPUNIT_ASSERT(startPercentile(pool, urgent, 1.0) <= 2700ms);
        CPPUNIT_ASSERT(startPercentile(pool, urgent, 0.5) <= 500ms);
        pool.advance(60s);
        for (const std::string& job : urgent)
            CPPUNIT_ASSERT(pool.state(job) == PoolJobState::Completed);
        assertSound(pool);
    }

    /** An organisation takes its guarantee back from another's urgent work beyond its own guarantee. */
    void guaranteeReclaimedUnderLoad()
    {
        VirtualPool pool;
        pool.addWorkers(8, 8, worker);
        pool.scheduler().setGuarantees({ { "a", 32 }, { "b", 16 } });
        for (int i = 0; i < 8; ++i)
            pool.submit(gangOf(1, 8, 20s), 0, "b");
        pool.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(64), pool.usedAccelerators());
        std::vector<std::string> reclaiming;
        reclaiming.reserve(32);
        for (int i = 0; i < 4; ++i)
            reclaiming.push_back(pool.submit(gangOf(1, 8, 2500ms), 0, "a"));
        pool.advance(2700ms);
        CPPUNIT_ASSERT(startPercentile(pool, reclaiming, 1.0) <= 2700ms);
        assertSound(pool);
    }

    /** A gang as wide as a rack is not starved by a stream of small tasks. */
    void largeGangAmongSmallTasks()
    {
        VirtualPool pool;
        pool.addWorkers(16, 8, worker);
        for (int i = 0; i < 8; ++i) {
            const std::string job = pool.submit(tasksOf(16, 6s), 1);
            pool.setLengthFactor(job, 0.5 + 0.1 * i);
        }
        const std::string large = pool.submit(gangOf(8, 8, 6s), 1);
        for (int second = 0; second < 40; ++second) {
            pool.submit(tasksOf(20, 6s), 1);
            pool.advance(1s);
        }
        CPPUNIT_ASSERT(pool.timeToStart(large).value_or(Duration::max()) <= 20s);
        assertSound(pool);
    }

    /** Small tasks go where a rack is in use already, and a whole rack stays free. */
    void smallTasksFillRacksOneAfterTheOther()
    {
        VirtualPool pool;
        pool.addWorkers(16, 8, worker);
        pool.submit(gangOf(7, 8, 60s), 1);
        StepSpec pinned = tasksOf(1, 4s);
        pinned.preferredRack_ = "r1";
        pool.submit(pinned, 1);
        pool.advance(1s);
        // A worker of the emptier rack would be the better fit.
        pool.submit(tasksOf(7, 20s), 2);
        pool.advance(4s);
        const std::string gang = pool.submit(gangOf(8, 8, 2500ms), 0);
        pool.advance(500ms);
        CPPUNIT_ASSERT(pool.timeToStart(gang).value_or(Duration::max()) <= 100ms);
        CPPUNIT_ASSERT_EQUAL(0, pool.stops());
        assertSound(pool);
    }

    /** Of two full racks the one whose work is saved gives way. */
    void cheapestVictimsInOneRack()
    {
        VirtualPool pool;
        pool.addWorkers(16, 8, worker);
        StepSpec saving = gangOf(8, 8, 30s);
        saving.savesProgress_ = true;
        const std::string dear = pool.submit(gangOf(8, 8, 30s), 1);
        const std::string cheap = pool.submit(saving, 1);
        pool.advance(10s);
        pool.submit(gangOf(4, 8, 2500ms), 0);
        pool.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), pool.workersOf(dear).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), pool.workersOf(cheap).size());
        CPPUNIT_ASSERT_EQUAL(0.0, pool.wastedWork());
        assertSound(pool);
    }

    void workThatSavesLeavesADrainingWorker()
    {
        VirtualPool pool;
        pool.addWorkers(2, 2, worker);
        StepSpec step = tasksOf(1, 20s);
        step.savesProgress_ = true;
        const std::string job = pool.submit(step, 1);
        pool.advance(5s);
        const std::string first = *pool.workersOf(job).begin();
        pool.drain(first == "w100" ? 0 : 1, 2s);
        pool.advance(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.workersOf(job).size());
        CPPUNIT_ASSERT(*pool.workersOf(job).begin() != first);
        pool.advance(14s);
        CPPUNIT_ASSERT(pool.duration(job).value_or(Duration::max()) <= 21s);
        assertSound(pool);
    }

    /** Nothing starts in a data centre that was taken out; what runs there goes on. */
    void dataCentreTakenOutAndBack()
    {
        VirtualPool pool;
        pool.addWorkers(4, 4, worker, "north");
        pool.addWorkers(4, 4, worker, "south");
        const std::string before = pool.submit(tasksOf(40, 10s), 1);
        pool.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), std::size_t(pool.usedAccelerators()));
        pool.scheduler().setClosedDataCentres({ "north" });
        const std::string during = pool.submit(tasksOf(40, 2s), 1);
        for (int i = 0; i < 30; ++i) {
            pool.advance(100ms);
            for (const std::string& name : pool.workersOf(during))
                CPPUNIT_ASSERT(name >= "w104");
        }
        pool.scheduler().setClosedDataCentres({});
        pool.advance(20s);
        CPPUNIT_ASSERT(pool.state(before) == PoolJobState::Completed);
        CPPUNIT_ASSERT(pool.state(during) == PoolJobState::Completed);
        assertSound(pool);
    }

    /** One slow member holds up an urgent gang: it is restarted elsewhere in good time. */
    void gangMovesOffASlowWorker()
    {
        VirtualPool pool;
        pool.addWorkers(16, 8, worker);
        const std::string gang = pool.submit(gangOf(4, 8, 2500ms), 0);
        pool.advance(100ms);
        const std::set<std::string> first = pool.workersOf(gang);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), first.size());
        for (int i = 0; i < 16; ++i) {
            if (pool.worker(i).info_.key_.id_ == *first.begin())
                pool.worker(i).speed_ = 0.05;
        }
        pool.advance(9s);
        // With the slow member it would have taken 50 s.
        CPPUNIT_ASSERT(pool.duration(gang).value_or(Duration::max()) <= 7s);
        assertSound(pool);
    }

    /** Members that are done wait for the others and show no progress. */
    void finishedMembersAreNotTakenForStalled()
    {
        VirtualPool pool;
        pool.addWorkers(4, 4, worker);
        pool.worker(3).speed_ = 0.6;
        const std::string gang = pool.submit(gangOf(4, 8, 8s), 1);
        pool.advance(20s);
        CPPUNIT_ASSERT_EQUAL(0, pool.stops());
        CPPUNIT_ASSERT(pool.state(gang) == PoolJobState::Completed);
        for (const auto& [key, state] : pool.scheduler().state().workers_)
            CPPUNIT_ASSERT(state.avoidedUntil_ == Time {});
    }

    /** A worker that fails all it starts costs no job its attempts. */
    void workerThatFailsEverything()
    {
        VirtualPool pool;
        pool.addWorkers(8, 8, worker);
        pool.worker(2).fails_ = true;
        std::vector<std::string> jobs;
        jobs.reserve(32);
        for (int i = 0; i < 20; ++i) {
            jobs.push_back(pool.submit(gangOf(2, 4, 2s), 1));
            pool.advance(700ms);
        }
        pool.advance(30s);
        for (const std::string& job : jobs)
            CPPUNIT_ASSERT(pool.state(job) == PoolJobState::Completed);
        assertSound(pool);
    }

    void hopelessJobEndsAsFailed()
    {
        VirtualPool pool;
        pool.addWorkers(4, 4, worker);
        for (int i = 0; i < 4; ++i)
            pool.worker(i).fails_ = true;
        const std::string job = pool.submit(gangOf(2, 4, 2s), 1);
        pool.advance(20s);
        CPPUNIT_ASSERT(pool.state(job) == PoolJobState::Failed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), pool.usedAccelerators());
        assertSound(pool);
    }

    /** After a wave of cancellations the room is used again at once. */
    void cancelWave()
    {
        VirtualPool pool;
        pool.addWorkers(8, 8, worker);
        std::vector<std::string> cancelled;
        cancelled.reserve(32);
        for (int i = 0; i < 8; ++i)
            cancelled.push_back(pool.submit(gangOf(1, 8, 60s), 1));
        const std::string waiting = pool.submit(gangOf(8, 8, 2s), 1);
        pool.advance(2s);
        for (const std::string& job : cancelled)
            pool.scheduler().cancelJob(job, pool.now());
        pool.advance(300ms);
        CPPUNIT_ASSERT(pool.timeToStart(waiting).value_or(Duration::max()) <= 2300ms);
        for (const std::string& job : cancelled)
            CPPUNIT_ASSERT(pool.workersOf(job).empty());
        assertSound(pool);
    }

    /** Estimates that are off ninefold don't make like tasks look slow. */
    void wrongEstimates()
    {
        VirtualPool pool;
        pool.addWorkers(8, 8, worker);
        PoolJobSpec spec;
        spec.steps_.push_back(tasksOf(20, 9s));
        JobPolicy policy;
        policy.service_ = "service";
        policy.stretch_ = 3;
        policy.priority_ = 1;
        policy.maxAttempts_ = 2;
        const std::string longer = pool.submit(spec, policy);
        pool.setLengthFactor(longer, 9);
        const std::string shorter = pool.submit(spec, policy);
        pool.setLengthFactor(shorter, 1.0 / 9);
        pool.advance(90s);
        CPPUNIT_ASSERT_EQUAL(0, pool.stops());
        CPPUNIT_ASSERT(pool.state(longer) == PoolJobState::Completed);
        CPPUNIT_ASSERT(pool.state(shorter) == PoolJobState::Completed);
        assertSound(pool);
    }

    /** Urgent gangs come in waves beside a backlog of small tasks: the room a wave gave back is kept for the next. */
    void urgentGangsComeInWaves()
    {
        VirtualPool pool;
        pool.addWorkers(48, 8, worker);
        for (int i = 0; i < 6; ++i)
            pool.submit(tasksOf(60, 9s), 2);
        std::vector<std::string> urgent;
        for (int wave = 0; wave < 8; ++wave) {
            for (int i = 0; i < 2; ++i)
                urgent.push_back(pool.submit(gangOf(3, 8, 2500ms), 0));
            pool.submit(tasksOf(190, 9s), 2);
            pool.advance(5s);
        }
        CPPUNIT_ASSERT(startPercentile(pool, urgent, 1.0) <= 2700ms);
        // The first wave may stop others; later ones find the room that it left.
        const int tasksOfOneWave = 2 * 3 * 8;
        CPPUNIT_ASSERT_LESSEQUAL(tasksOfOneWave, pool.stops());
        assertSound(pool);
    }

    /** A gang as wide as the pool gets the headroom too once its latest start comes near. */
    void overdueGangUsesTheHeadroom()
    {
        VirtualPool pool;
        pool.addWorkers(20, 10, worker);
        StepSpec wide = gangOf(20, 8, 5s);
        wide.wantsOneRack_ = false;
        const std::string gang = pool.submit(wide, 1);
        pool.advance(60s);
        CPPUNIT_ASSERT(pool.state(gang) == PoolJobState::Completed);
        assertSound(pool);
    }

    /** A scheduler that took over knows no start times: what runs is worth what it has done. */
    void workIsWeighedByProgressAfterATakeover()
    {
        PoolScheduler scheduler;
        Time now { std::chrono::seconds(1000) };
        const auto keyOf = [](int rack, int index) { return WorkerKey { "w" + std::to_string(rack) + std::to_string(index), 1 }; };
        for (const int rack : { 1, 2 }) {
            for (int index = 0; index < 2; ++index) {
                WorkerInfo info;
                info.key_ = keyOf(rack, index);
                info.service_ = "s";
                info.rack_ = "r" + std::to_string(rack);
                info.capacity_ = worker;
                scheduler.putWorker(info, now);
            }
        }
        JobPolicy policy;
        policy.service_ = "s";
        policy.priority_ = 1;
        PoolJobSpec spec;
        spec.steps_ = { gangOf(2, 8, 20s) };
        const auto takeOver = [&](const std::string& id, int rack) {
            PoolJobRecord record { PoolJobState::Running, { { 0, 0, -1, 1, 0, false, "", { { 0, keyOf(rack, 0) }, { 1, keyOf(rack, 1) } } } } };
            scheduler.addJob(id, spec, policy, now - 20s, &record, now);
        };
        takeOver("a-nearly-done", 1);
        takeOver("b-just-begun", 2);
        now += 10ms;
        for (const int rack : { 1, 2 }) {
            for (int index = 0; index < 2; ++index) {
                PoolWorkerReport report;
                report.running_ = { { { { rack == 1 ? "a-nearly-done" : "b-just-begun", 0, 0, index }, 1 }, "", rack == 1 ? 90 : 5 } };
                scheduler.report(keyOf(rack, index), report, now, now);
            }
        }
        policy.priority_ = 0;
        scheduler.addJob("urgent", spec, policy, now, nullptr, now);
        scheduler.schedule(now, 0);
        const Decisions decisions = scheduler.takeDecisions();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), decisions.stops_.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b-just-begun"), decisions.stops_.front().run_.task_.job_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PatternsTest);
