#include "pool/overloadplan.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

constexpr Time now { 1000s };
constexpr int urgent = 1;
constexpr int ordinary = 3;

/** A job of so many pool-seconds that takes 2 s alone. */
OverloadJob jobOf(int rank, Duration dueIn, double work)
{
    OverloadJob job;
    job.rank_ = rank;
    job.due_ = now + dueIn;
    job.waitingWork_ = work;
    job.wholeWork_ = work;
    job.shortestRest_ = 2s;
    return job;
}

OverloadInput inputOf(std::vector<OverloadJob> jobs)
{
    OverloadInput input;
    input.now_ = now;
    input.jobs_ = std::move(jobs);
    return input;
}

}

/** Which jobs are postponed in an overload; see docs/design/overload.md. */
class OverloadPlanTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OverloadPlanTest);
    CPPUNIT_TEST(nothingIsPostponedWithinCapacity);
    CPPUNIT_TEST(wideJobDueFirstIsPostponed);
    CPPUNIT_TEST(smallestJobThatFreesEnoughIsPostponed);
    CPPUNIT_TEST(doneWorkDoesNotCount);
    CPPUNIT_TEST(higherRankIsNotPostponedForLowerOne);
    CPPUNIT_TEST(runsInProgressUseCapacity);
    CPPUNIT_TEST(jobsThatMayNotBePostponedAreKept);
    CPPUNIT_TEST(lateJobMakesNobodyLate);
    CPPUNIT_TEST(jobThatHarmsNobodyIsKept);
    CPPUNIT_TEST(smallChangeDoesNotSwitch);
    CPPUNIT_TEST_SUITE_END();

    using Indexes = std::vector<std::size_t>;

    void nothingIsPostponedWithinCapacity()
    {
        std::vector<OverloadJob> jobs;
        jobs.reserve(10);
        for (int i = 0; i < 10; ++i)
            jobs.push_back(jobOf(ordinary, 10s + i * 1s, 1));
        CPPUNIT_ASSERT(planOverload(inputOf(std::move(jobs))).empty());
    }

    /** Guards against one wide job making many small ones late. */
    void wideJobDueFirstIsPostponed()
    {
        std::vector<OverloadJob> jobs { jobOf(ordinary, 9s, 12) };
        for (int i = 0; i < 10; ++i)
            jobs.push_back(jobOf(ordinary, 10s, 0.8));
        CPPUNIT_ASSERT(planOverload(inputOf(std::move(jobs))) == Indexes { 0 });
    }

    /** Guards against the largest job always being the one that waits. */
    void smallestJobThatFreesEnoughIsPostponed()
    {
        const auto jobs = { jobOf(ordinary, 8s, 8), jobOf(ordinary, 8s, 3), jobOf(ordinary, 9s, 1), jobOf(ordinary, 10s, 4) };
        CPPUNIT_ASSERT(planOverload(inputOf(jobs)) == Indexes { 2 });
    }

    /** Guards against a job that is nearly done being postponed for its size. */
    void doneWorkDoesNotCount()
    {
        OverloadJob nearlyDone = jobOf(ordinary, 9s, 10);
        nearlyDone.waitingWork_ = 1;
        std::vector<OverloadJob> jobs { nearlyDone };
        for (int i = 0; i < 6; ++i)
            jobs.push_back(jobOf(ordinary, 10s, 3));
        const Indexes postponed = planOverload(inputOf(std::move(jobs)));
        CPPUNIT_ASSERT(!postponed.empty() && postponed.front() != 0);
    }

    /** Guards against bursts in two ranks being weighed against each other. */
    void higherRankIsNotPostponedForLowerOne()
    {
        std::vector<OverloadJob> jobs { jobOf(urgent, 10s, 8), jobOf(ordinary, 14s, 6), jobOf(ordinary, 15s, 9) };
        CPPUNIT_ASSERT(planOverload(inputOf(jobs)) == Indexes { 1 });
        jobs.erase(jobs.begin());
        CPPUNIT_ASSERT(planOverload(inputOf(jobs)).empty());
    }

    void runsInProgressUseCapacity()
    {
        OverloadInput input = inputOf({ jobOf(ordinary, 10s, 6), jobOf(ordinary, 10s, 6) });
        CPPUNIT_ASSERT(planOverload(input).empty());
        input.runs_ = { { ordinary, 0.8, 5 }, { ordinary, 0.2, 9 } };
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), planOverload(input).size());
        // An urgent job may stop them.
        input.jobs_[0].rank_ = input.jobs_[1].rank_ = urgent;
        CPPUNIT_ASSERT(planOverload(input).empty());
    }

    /** Guards against postponing jobs within a guarantee, or beyond the bound of a postponement. */
    void jobsThatMayNotBePostponedAreKept()
    {
        std::vector<OverloadJob> jobs { jobOf(ordinary, 9s, 12), jobOf(ordinary, 10s, 8), jobOf(ordinary, 11s, 2) };
        CPPUNIT_ASSERT(planOverload(inputOf(jobs)) == Indexes { 1 } || planOverload(inputOf(jobs)) == Indexes { 0 });
        jobs[0].mayBePostponed_ = false;
        CPPUNIT_ASSERT(planOverload(inputOf(jobs)) == Indexes { 1 });
        jobs[1].mayBePostponed_ = false;
        jobs[2].mayBePostponed_ = false;
        CPPUNIT_ASSERT(planOverload(inputOf(jobs)).empty());
    }

    /** Guards against work that is placed last anyway displacing jobs in time. */
    void lateJobMakesNobodyLate()
    {
        const auto jobs = { jobOf(ordinary, 1s, 30), jobOf(ordinary, 10s, 6), jobOf(ordinary, 10s, 6) };
        CPPUNIT_ASSERT(planOverload(inputOf(jobs)).empty());
    }

    /** Guards against postponing a job whose delay helps nobody. */
    void jobThatHarmsNobodyIsKept()
    {
        OverloadInput input = inputOf({ jobOf(ordinary, 3s, 2), jobOf(ordinary, 20s, 6) });
        input.runs_ = { { ordinary, 1, 3 } };
        CPPUNIT_ASSERT(planOverload(input).empty());
        input.jobs_[1].waitingWork_ = 25;
        CPPUNIT_ASSERT(!planOverload(input).empty());
    }

    /** Guards against a postponement that ends and starts again with each small change of the estimates. */
    void smallChangeDoesNotSwitch()
    {
        std::vector<OverloadJob> jobs { jobOf(ordinary, 10s, 8), jobOf(ordinary, 10s, 8) };
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), planOverload(inputOf(jobs)).size());
        for (OverloadJob& job : jobs)
            job.waitingWork_ = 7.3;
        CPPUNIT_ASSERT(planOverload(inputOf(jobs)).empty());
        jobs[0].wasPostponed_ = true;
        CPPUNIT_ASSERT(planOverload(inputOf(jobs)) == Indexes { 0 });
        jobs[0].waitingWork_ = 6;
        CPPUNIT_ASSERT(planOverload(inputOf(jobs)).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadPlanTest);
