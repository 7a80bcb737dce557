#include "pool/overloadreview.h"
#include "pool/poolday.h"
#include "pool/virtualpool.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

const Resources workerCapacity { 64000, 262144, 8 };

/** Target duration of an ordinary job of one step in VirtualPool. */
Duration targetOf(const StepSpec& step) { return 3 * step.estimate_ + 1s; }

/** How many of the jobs ended within their target duration. */
int countInTime(const VirtualPool& pool, const std::vector<std::string>& jobs, const StepSpec& step)
{
    int count = 0;
    for (const std::string& job : jobs) {
        const auto took = pool.duration(job);
        count += took && *took <= targetOf(step) ? 1 : 0;
    }
    return count;
}

/** A wide job of 10 pool-seconds that is due first, and 16 small ones of 4 pool-seconds in all. */
struct WideBesideSmall {
    explicit WideBesideSmall(bool isOrdered, double durationFactor = 1)
    {
        pool_.addWorkers(4, 4, workerCapacity);
        pool_.scheduler().setOverloadOrder(isOrdered);
        wide_ = pool_.submit(wideStep_, 1, "large");
        pool_.setDurationFactor(wide_, durationFactor);
        pool_.advance(500ms);
        for (int i = 0; i < 16; ++i) {
            small_.push_back(pool_.submit(smallStep_, 1, "small"));
            pool_.setDurationFactor(small_.back(), durationFactor);
        }
        pool_.advance(40s);
    }

    int smallInTime() const { return countInTime(pool_, small_, smallStep_); }

    VirtualPool pool_;
    StepSpec wideStep_ = tasksOf(160, 2s);
    StepSpec smallStep_ = tasksOf(4, 2s);
    std::string wide_;
    std::vector<std::string> small_;
};

}

/** Loads that exceed the pool, played with the order by overload off and on. */
class OverloadOrderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OverloadOrderTest);
    CPPUNIT_TEST(wideJobDueFirstMakesNoSmallOnesLate);
    CPPUNIT_TEST(wrongEstimatesMakeItNoWorse);
    CPPUNIT_TEST(nothingChangesWhereAllAreInTime);
    CPPUNIT_TEST(postponementIsBounded);
    CPPUNIT_TEST(guaranteedJobsAreNeverPostponed);
    CPPUNIT_TEST(burstsKeepLargeJobsServed);
    CPPUNIT_TEST_SUITE_END();

    /** Load: one wide job, due first, beside many small ones. Guards against all of the small ones being late for it. */
    void wideJobDueFirstMakesNoSmallOnesLate()
    {
        const WideBesideSmall former(false);
        const WideBesideSmall ordered(true);
        CPPUNIT_ASSERT_EQUAL(16, ordered.smallInTime());
        CPPUNIT_ASSERT_LESS(8, former.smallInTime());
        CPPUNIT_ASSERT(ordered.pool_.state(ordered.wide_) == PoolJobState::Completed);
        CPPUNIT_ASSERT(*ordered.pool_.duration(ordered.wide_) <= 3 * targetOf(ordered.wideStep_));
        CPPUNIT_ASSERT(ordered.pool_.violations().empty());
    }

    /** Load: the same with estimates off by half. Guards against a plan that only suits exact estimates. */
    void wrongEstimatesMakeItNoWorse()
    {
        for (const double factor : { 0.5, 1.5 }) {
            const WideBesideSmall former(false, factor);
            const WideBesideSmall ordered(true, factor);
            CPPUNIT_ASSERT_LESSEQUAL(ordered.smallInTime(), former.smallInTime());
        }
    }

    /** Load: 0.8 of the pool for 30 s. Guards against an order that differs from the former one without need. */
    void nothingChangesWhereAllAreInTime()
    {
        std::vector<std::vector<std::optional<Duration>>> starts(2);
        for (const bool isOrdered : { false, true }) {
            VirtualPool pool;
            pool.addWorkers(8, 8, workerCapacity);
            pool.scheduler().setOverloadOrder(isOrdered);
            std::vector<std::string> jobs;
            for (int i = 0; i < 30; ++i) {
                jobs.push_back(pool.submit(tasksOf(12, 3s), 2));
                jobs.push_back(pool.submit(gangOf(2, 2, 3s), 1));
                pool.advance(1s);
            }
            pool.advance(10s);
            for (const std::string& job : jobs)
                starts[isOrdered ? 1 : 0].push_back(pool.timeToStart(job));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), pool.scheduler().state().overload_.postponedJobs_);
        }
        CPPUNIT_ASSERT(starts[0] == starts[1]);
    }

    /**
     * Load: an organisation submits more small work than the pool can do for 40 s. Guards against a wide job of another
     * one waiting for as long as the burst lasts: from half of the way from its target to its expiry on it comes first.
     */
    void postponementIsBounded()
    {
        VirtualPool pool;
        pool.addWorkers(4, 4, workerCapacity);
        pool.scheduler().setOverloadOrder(true);
        for (int i = 0; i < 8; ++i)
            pool.submit(tasksOf(8, 2s), 1, "small");
        const StepSpec wideStep = tasksOf(96, 2s);
        const std::string wide = pool.submit(wideStep, 1, "large");
        const Job& job = pool.scheduler().state().jobs_.at(wide);
        const Time bound = OverloadReview::postponementEnd(job);
        CPPUNIT_ASSERT(bound == job.submittedAt_ + 2 * targetOf(wideStep));
        const Time expiry = job.creditExpiry_;
        bool wasPostponed = false;
        for (Time second = pool.now(); pool.now() < second + 40s;) {
            for (int i = 0; i < 3; ++i)
                pool.submit(tasksOf(8, 2s), 1, "small");
            pool.advance(500ms);
            const OverloadState& overload = pool.scheduler().state().overload_;
            wasPostponed |= overload.postponed_.count(wide) > 0;
            CPPUNIT_ASSERT(pool.now() < bound + 200ms || overload.postponed_.count(wide) == 0);
        }
        CPPUNIT_ASSERT(wasPostponed);
        CPPUNIT_ASSERT(pool.state(wide) == PoolJobState::Completed);
        CPPUNIT_ASSERT(*pool.duration(wide) <= expiry - job.submittedAt_);
    }

    /** Load: urgent work of twice the pool, a part of it within a guarantee. Guards against postponing that part. */
    void guaranteedJobsAreNeverPostponed()
    {
        VirtualPool pool;
        pool.addWorkers(4, 4, workerCapacity);
        pool.scheduler().setOverloadOrder(true);
        pool.scheduler().setGuarantees({ { "a", 16 } });
        std::vector<std::string> guaranteed;
        guaranteed.reserve(2);
        for (int i = 0; i < 40; ++i)
            pool.submit(gangOf(1 + i % 3, 8, 2s), 0, "b");
        for (int i = 0; i < 2; ++i)
            guaranteed.push_back(pool.submit(gangOf(1, 8, 2s), 0, "a"));
        bool hasPostponed = false;
        for (int i = 0; i < 10; ++i) {
            pool.advance(100ms);
            const std::set<std::string>& postponed = pool.scheduler().state().overload_.postponed_;
            hasPostponed |= !postponed.empty();
            for (const std::string& job : guaranteed)
                CPPUNIT_ASSERT(postponed.count(job) == 0);
        }
        CPPUNIT_ASSERT(hasPostponed);
        for (const std::string& job : guaranteed)
            CPPUNIT_ASSERT(pool.timeToStart(job).value_or(Duration::max()) <= 2700ms);
    }

    /**
     * Load: 2.4 times the usual rate for 6 s on a pool that is else 0.85 full, by each priority. Guards against callers
     * being worse off, and against the largest jobs of a queue paying for the others.
     */
    void burstsKeepLargeJobsServed()
    {
        DayDeployment deployment = smallDeployment();
        for (DayJobKind& kind : deployment.kinds_)
            kind.jobsPerSecond_ *= 1.5;
        const DayTrouble burst { DayTroubleKind::Burst, 8s, 6s, 0, 2.4, -1, 0 };
        std::vector<double> former;
        for (const bool isOrdered : { false, true }) {
            for (std::size_t kind = 0; kind < deployment.kinds_.size(); ++kind) {
                DayCounts all;
                DayCounts largest;
                for (unsigned seed = 1; seed <= 6; ++seed) {
                    PoolDay day(deployment, { burst }, seed);
                    day.setOverloadOrder(isOrdered);
                    const DayResult result = day.run(20s, 40s);
                    all += result.countsOf(static_cast<int>(kind));
                    largest += result.countsOf(static_cast<int>(kind), 0.1);
                }
                if (!isOrdered) {
                    former.push_back(all.servedShare());
                    continue;
                }
                CPPUNIT_ASSERT(all.servedShare() >= former[kind] - 0.02);
                CPPUNIT_ASSERT(largest.servedShare() >= all.servedShare() / 2);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadOrderTest);
