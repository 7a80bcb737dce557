#include "pool/poolday.h"
#include "pool/virtualpool.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

const Resources workerCapacity { 64000, 262144, 8 };
const StopCosts slowStops { 900ms, 600ms, 2s, 4s };
const StopCosts quickStops { 200ms, 250ms, 2s, 4s };

/** A pool of one rack that gangs of one worker each fill; `costs` is what its scheduler knows. */
struct BusyPool {
    BusyPool(int workers, Duration estimate, const std::optional<StopCosts>& costs)
    {
        pool_.addWorkers(workers, workers, workerCapacity);
        pool_.scheduler().setStopCosts(costs);
        for (int i = 0; i < workers; ++i)
            jobs_.push_back(pool_.submit(gangOf(1, 8, estimate), 1));
    }

    /** Submits an urgent job whose target leaves it so much time beside its estimate. */
    std::string submitWithSlack(const StepSpec& step, Duration slack)
    {
        PoolJobSpec spec;
        spec.steps_ = { step };
        JobPolicy policy;
        policy.service_ = "service";
        policy.latencyTarget_ = slack;
        return pool_.submit(spec, policy);
    }

    bool startsWithin(const std::string& job, Duration limit) const { return pool_.timeToStart(job).value_or(Duration::max()) <= limit; }

    VirtualPool pool_;
    std::vector<std::string> jobs_;
};

}

/** Decisions that weigh the cost of stopping a task, the time until its room is free, and room that frees by itself. */
class StopCostTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StopCostTest);
    CPPUNIT_TEST(roomThatFreesInTimeIsWaitedFor);
    CPPUNIT_TEST(waitThatProvesWrongEndsInPreemption);
    CPPUNIT_TEST(roomThatIsWaitedForIsReserved);
    CPPUNIT_TEST(nothingIsStoppedForLateJob);
    CPPUNIT_TEST(guaranteedJobKeepsItsBound);
    CPPUNIT_TEST(restoreIsDearerThanYoungWork);
    CPPUNIT_TEST(lastingTaskHasNoTarget);
    CPPUNIT_TEST(gangLeavesBeforeItsNoticeEnds);
    CPPUNIT_TEST(burstsThrowLessAway);
    CPPUNIT_TEST_SUITE_END();

    /** Urgent gang in a full pool whose runs end within its slack. Guards against throwing away work that is nearly done. */
    void roomThatFreesInTimeIsWaitedFor()
    {
        const auto play = [](const std::optional<StopCosts>& costs) {
            BusyPool busy(2, 4s, costs);
            busy.pool_.advance(3200ms);
            const std::string urgent = busy.pool_.submit(gangOf(1, 8, 8s), 0);
            busy.pool_.advance(12s);
            CPPUNIT_ASSERT(busy.pool_.duration(urgent).value_or(Duration::max()) <= 12250ms);
            return busy.pool_.stopCount();
        };
        CPPUNIT_ASSERT_EQUAL(0, play(slowStops));
        CPPUNIT_ASSERT_EQUAL(1, play(std::nullopt));
    }

    /** The runs that are waited for become ten times slower. Guards against missing the target by trusting a forecast. */
    void waitThatProvesWrongEndsInPreemption()
    {
        BusyPool busy(2, 4s, slowStops);
        busy.pool_.advance(3200ms);
        const std::string urgent = busy.pool_.submit(gangOf(1, 8, 8s), 0);
        for (int i = 0; i < 2; ++i)
            busy.pool_.worker(i).speed_ = 0.1;
        busy.pool_.advance(200ms);
        CPPUNIT_ASSERT_EQUAL(0, busy.pool_.stopCount());
        busy.pool_.advance(4s);
        CPPUNIT_ASSERT(busy.pool_.stopCount() > 0);
        CPPUNIT_ASSERT(busy.startsWithin(urgent, 4250ms));
    }

    /** Runs end one after the other while small tasks keep arriving. Guards against others taking the room that a gang waits for. */
    void roomThatIsWaitedForIsReserved()
    {
        BusyPool busy(2, 4s, slowStops);
        busy.pool_.worker(1).speed_ = 0.85;
        busy.pool_.advance(3200ms);
        const std::string urgent = busy.pool_.submit(gangOf(2, 8, 12s), 0);
        for (int i = 0; i < 20; ++i) {
            busy.pool_.submit(tasksOf(4, 5s), 1);
            busy.pool_.advance(100ms);
        }
        CPPUNIT_ASSERT(busy.startsWithin(urgent, 1700ms));
        CPPUNIT_ASSERT_EQUAL(0, busy.pool_.stopCount());
    }

    /** An urgent job that a stop can't bring in time. Guards against work that is thrown away and earns nothing. */
    void nothingIsStoppedForLateJob()
    {
        const auto play = [](const std::optional<StopCosts>& costs) {
            BusyPool busy(2, 20s, costs);
            busy.pool_.advance(300ms);
            busy.submitWithSlack(gangOf(1, 8, 500ms), 250ms);
            busy.pool_.advance(5s);
            return busy.pool_.stopCount();
        };
        CPPUNIT_ASSERT_EQUAL(0, play(slowStops));
        CPPUNIT_ASSERT_EQUAL(1, play(quickStops));
        CPPUNIT_ASSERT_EQUAL(1, play(std::nullopt));
    }

    /** A guaranteed job can't be in time, or waits for room that doesn't come. Guards against a guarantee that isn't kept. */
    void guaranteedJobKeepsItsBound()
    {
        for (const Duration estimate : { 500ms, 20000ms }) {
            BusyPool busy(2, estimate == 500ms ? 20s : 4s, slowStops);
            busy.pool_.scheduler().setGuarantees({ { "org", 8 } });
            busy.pool_.advance(3s);
            const std::string urgent = busy.pool_.submit(gangOf(1, 8, estimate), 0);
            for (int i = 0; i < 2; ++i)
                busy.pool_.worker(i).speed_ = 0.1;
            busy.pool_.advance(4s);
            CPPUNIT_ASSERT(busy.startsWithin(urgent, 2700ms));
            CPPUNIT_ASSERT(busy.pool_.stopCount() > 0);
        }
    }

    /** A run that has just begun beside one that saves. Guards against a restore that costs more than the young work. */
    void restoreIsDearerThanYoungWork()
    {
        const auto stopped = [](const std::optional<StopCosts>& costs) {
            VirtualPool pool;
            pool.addWorkers(2, 1, workerCapacity);
            pool.scheduler().setStopCosts(costs);
            StepSpec saving = gangOf(1, 8, 30s);
            saving.savesProgress_ = true;
            const std::string saved = pool.submit(saving, 1);
            pool.advance(10s);
            const std::string young = pool.submit(gangOf(1, 8, 30s), 1);
            pool.advance(400ms);
            pool.submit(gangOf(1, 8, 2500ms), 0);
            pool.advance(1s);
            return pool.workersOf(saved).empty() ? saved : young;
        };
        CPPUNIT_ASSERT(stopped(slowStops) != stopped(std::nullopt));
    }

    /** A lasting urgent task has waited for long. Guards against declining it for a target that it doesn't have. */
    void lastingTaskHasNoTarget()
    {
        BusyPool busy(2, 60s, slowStops);
        busy.pool_.advance(1s);
        StepSpec lasting = gangOf(1, 8, 2s);
        lasting.isLongRunning_ = true;
        const std::string urgent = busy.submitWithSlack(lasting, 10ms);
        busy.pool_.advance(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), busy.pool_.workersOf(urgent).size());
    }

    /** A gang whose last second is after its worker's notice. Guards against the loss of all members. */
    void gangLeavesBeforeItsNoticeEnds()
    {
        const auto isMoved = [](Duration notice, const std::optional<StopCosts>& costs) {
            VirtualPool pool;
            pool.addWorkers(4, 4, workerCapacity);
            pool.scheduler().setStopCosts(costs);
            const std::string gang = pool.submit(gangOf(2, 8, 8s), 1);
            pool.advance(5s);
            pool.drain(*pool.workersOf(gang).begin() == "w100" ? 0 : 2, notice);
            pool.advance(notice);
            return pool.stopCount() == 2;
        };
        CPPUNIT_ASSERT(isMoved(2500ms, slowStops));
        CPPUNIT_ASSERT(!isMoved(2500ms, std::nullopt));
        CPPUNIT_ASSERT(!isMoved(5s, slowStops));
    }

    /** Bursts of 2.4 times the usual load for 6 s on a busy pool. Guards against throwing work away without need, and against savings at the callers' expense. */
    void burstsThrowLessAway()
    {
        const auto play = [](const StopCosts& stops, bool isKnown) {
            DayResult sum;
            sum.kinds_.resize(3);
            double lost = 0;
            for (unsigned seed = 1; seed <= 6; ++seed) {
                DayDeployment deployment = smallDeployment();
                for (DayJobKind& kind : deployment.kinds_)
                    kind.jobsPerSecond_ *= 1.2;
                deployment.stop_ = stops.stop_;
                deployment.restore_ = stops.restore_;
                if (isKnown)
                    deployment.stopCosts_ = stops;
                const DayTrouble burst { DayTroubleKind::Burst, 8s, 6s, 0, 2.4, -1, 0 };
                const DayResult day = PoolDay(deployment, { burst }, seed).run(20s, 10s);
                lost += day.lostWork();
                sum.lateGuarantees_ += day.lateGuarantees_;
                for (std::size_t kind = 0; kind < 3; ++kind) {
                    sum.kinds_[kind].earned_ += day.kinds_[kind].earned_;
                    sum.kinds_[kind].owed_ += day.kinds_[kind].owed_;
                }
            }
            CPPUNIT_ASSERT_EQUAL(0, sum.lateGuarantees_);
            return std::make_pair(lost, sum.share());
        };
        for (const StopCosts& stops : { slowStops, quickStops }) {
            const auto [lostBefore, shareBefore] = play(stops, false);
            const auto [lost, share] = play(stops, true);
            CPPUNIT_ASSERT_LESS(0.85 * lostBefore, lost);
            CPPUNIT_ASSERT(share >= shareBefore - 0.01);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopCostTest);
