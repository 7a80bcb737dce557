#include "pool/limitedpool.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

/** All runs of an organisation that may exist stay within its limit. */
class OrganisationLimitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrganisationLimitTest);
    CPPUNIT_TEST(tasksFillTheLimit);
    CPPUNIT_TEST(gangsStartWholeOrNotAtAll);
    CPPUNIT_TEST(eachResourceHasItsLimit);
    CPPUNIT_TEST(fillersCountWithTheirProcessors);
    CPPUNIT_TEST(blockedUnitsReserveNothing);
    CPPUNIT_TEST(gangBesideLastingTasksReservesNothing);
    CPPUNIT_TEST(otherStepsGoOn);
    CPPUNIT_TEST(loweredAndRaised);
    CPPUNIT_TEST(loweredBeforeTheStartIsSent);
    CPPUNIT_TEST(unansweredStartsCount);
    CPPUNIT_TEST(silentWorkersCount);
    CPPUNIT_TEST(restoredRunsCount);
    CPPUNIT_TEST(unrecordedRunsCount);
    CPPUNIT_TEST(unrecordedRunsOfDelistedWorkersCount);
    CPPUNIT_TEST(hugeNeedsDoNotOverflow);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against starts beyond the limit, and against a limit that holds up other organisations. */
    void tasksFillTheLimit()
    {
        LimitedPool pool;
        pool.limit("a", 3);
        pool.submit(LimitedPool::step(8), "a");
        pool.submit(LimitedPool::step(4), "b");
        const std::vector<StartDecision> starts = pool.startAll();
        CPPUNIT_ASSERT_EQUAL(3, pool.runsOf("a"));
        CPPUNIT_ASSERT_EQUAL(4, pool.runsOf("b"));
        CPPUNIT_ASSERT(pool.startAll().empty());
        pool.end(starts.front().run_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.startAll().size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), pool.used("a").accelerators_);
    }

    /** Guards against a gang of which only a part is within the limit. */
    void gangsStartWholeOrNotAtAll()
    {
        LimitedPool pool;
        pool.limit("a", 6);
        pool.submit(LimitedPool::step(4, 1, true), "a");
        pool.submit(LimitedPool::step(4, 1, true), "a");
        pool.submit(LimitedPool::step(4, 1, true), "b");
        const std::vector<StartDecision> starts = pool.startAll();
        CPPUNIT_ASSERT_EQUAL(4, pool.runsOf("a"));
        CPPUNIT_ASSERT_EQUAL(4, pool.runsOf("b"));
        std::vector<RunId> ofFirst;
        for (const StartDecision& start : starts) {
            if (pool.scheduler_.state().jobs_.at(start.run_.task_.job_).policy_.organisation_ == "a")
                ofFirst.push_back(start.run_);
        }
        pool.end(ofFirst[0]);
        CPPUNIT_ASSERT(pool.startAll().empty());
        pool.end(ofFirst[1]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), pool.startAll().size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), pool.used("a").accelerators_);
    }

    /** Guards against a limit of one resource that also holds up work that doesn't need it. */
    void eachResourceHasItsLimit()
    {
        LimitedPool pool;
        pool.scheduler_.setOrganisations({ { "a", { 0, { 6000, 3000, 0 } } } });
        pool.submit(LimitedPool::step(8), "a");
        StepSpec step = LimitedPool::step(8, 0);
        step.resources_ = { 1000, 0, 0 };
        pool.submit(step, "a");
        pool.startAll();
        CPPUNIT_ASSERT(pool.used("a") == (Resources { 6000, 3000, 3 }));
    }

    /** Guards against fillers, which cost their workers no processors, passing the limit of processors. */
    void fillersCountWithTheirProcessors()
    {
        LimitedPool pool;
        pool.scheduler_.setOrganisations({ { "a", { 0, { 2000, 0, 0 } } } });
        StepSpec step = LimitedPool::step(5);
        step.isFiller_ = true;
        pool.submit(step, "a");
        const std::vector<StartDecision> starts = pool.startAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), starts.size());
        pool.end(starts.front().run_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1000), pool.used("a").cpuMillis_);
    }

    /** Guards against capacity that is kept free for a gang which its own limit blocks. */
    void blockedUnitsReserveNothing()
    {
        LimitedPool pool;
        pool.limit("a", 10);
        StepSpec wide = LimitedPool::step(16, 1, true);
        wide.wantsOneRack_ = true;
        pool.submit(wide, "a", 0);
        pool.submit(wide, "a", 1);
        pool.submit(LimitedPool::step(16), "b", 2);
        pool.startAll();
        CPPUNIT_ASSERT_EQUAL(0, pool.runsOf("a"));
        CPPUNIT_ASSERT_EQUAL(16, pool.runsOf("b"));
    }

    /** Guards against tasks that wait below the limit of their organisation: a gang that tasks which last keep beyond the limit reserved what is left of it. */
    void gangBesideLastingTasksReservesNothing()
    {
        LimitedPool pool(4);
        pool.limit("a", 16);
        StepSpec lasting = LimitedPool::step(2);
        lasting.isLongRunning_ = true;
        const std::string job = pool.submit(lasting, "a");
        pool.startAll();
        pool.submit(LimitedPool::step(16, 1, true), "a");
        pool.now_ += 8s;
        pool.submit(LimitedPool::step(8), "a", 2);
        pool.startAll();
        CPPUNIT_ASSERT_EQUAL(10, pool.runsOf("a"));
        // Nothing else of the organisation starts before the gang once the tasks that last are gone.
        pool.scheduler_.cancelJob(job, pool.now_);
        pool.startAll();
        pool.endStopped();
        CPPUNIT_ASSERT(pool.used("a") == (Resources { 8000, 8000, 8 }));
        CPPUNIT_ASSERT(pool.scheduler_.state().usage_.lasting("a") == Resources {});
        pool.submit(LimitedPool::step(8), "a", 2);
        CPPUNIT_ASSERT(pool.startAll().empty());
    }

    /** Guards against a blocked step that holds up the other steps of its job. */
    void otherStepsGoOn()
    {
        LimitedPool pool;
        pool.limit("a", 4);
        PoolJobSpec spec;
        spec.steps_ = { LimitedPool::step(2, 3), LimitedPool::step(1, 1) };
        JobPolicy policy;
        policy.service_ = "service";
        policy.organisation_ = "a";
        pool.scheduler_.addJob("00000000000000aa", spec, policy, pool.now_, nullptr, pool.now_);
        pool.startAll();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), pool.used("a").accelerators_);
    }

    /** Guards against stops of accepted work, starts above a lowered limit, and a raised limit that is noticed late. */
    void loweredAndRaised()
    {
        LimitedPool pool;
        pool.limit("a", 6);
        pool.submit(LimitedPool::step(12), "a");
        const std::vector<StartDecision> starts = pool.startAll();
        pool.limit("a", 4);
        CPPUNIT_ASSERT(pool.startAll().empty());
        CPPUNIT_ASSERT(pool.endStopped().empty());
        for (std::size_t i = 0; i < 2; ++i) {
            pool.end(starts[i].run_);
            CPPUNIT_ASSERT(pool.startAll().empty());
        }
        pool.end(starts[2].run_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.startAll().size());
        pool.limit("a", 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), pool.startAll().size());
        pool.limit("a", 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.startAll().size());
    }

    /** Guards against starts that were decided under a former limit and are sent long after, as the store was slow. */
    void loweredBeforeTheStartIsSent()
    {
        LimitedPool pool;
        pool.submit(LimitedPool::step(5), "a");
        pool.submit(LimitedPool::step(3, 1, true), "a");
        const std::vector<StartDecision> starts = pool.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), starts.size());
        pool.limit("a", 4);
        pool.accept(starts);
        CPPUNIT_ASSERT(pool.used("a").accelerators_ <= 4 && pool.used("a").accelerators_ >= 2);
        CPPUNIT_ASSERT(pool.startAll().size() <= 2);
        CPPUNIT_ASSERT(pool.used("a").accelerators_ <= 4);
    }

    /** Guards against further requests for a start that a lowered limit no longer permits, and against not counting it. */
    void unansweredStartsCount()
    {
        LimitedPool pool;
        pool.limit("a", 2);
        pool.submit(LimitedPool::step(4), "a");
        for (const StartDecision& start : pool.place()) {
            CPPUNIT_ASSERT(pool.scheduler_.beginStart(start.run_, pool.now_));
            pool.scheduler_.startSent(start.run_, pool.now_);
            pool.scheduler_.startUnanswered(start.run_);
            CPPUNIT_ASSERT(pool.scheduler_.isStartWanted(start.run_));
        }
        const RunId run = pool.scheduler_.state().runs_.begin()->first;
        pool.limit("a", 1);
        CPPUNIT_ASSERT(!pool.scheduler_.isStartWanted(run));
        pool.now_ += 2s; // the starts are given up and stopped, but may still be executed
        CPPUNIT_ASSERT(pool.place().empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), pool.used("a").accelerators_);
    }

    /** Guards against counting runs on silent workers as ended before their leases have expired. */
    void silentWorkersCount()
    {
        LimitedPool pool(4);
        pool.limit("a", 10);
        pool.submit(LimitedPool::step(20), "a");
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), pool.startAll().size());
        pool.scheduler_.setSilent(LimitedPool::workerKey(0), pool.now_, pool.now_);
        pool.scheduler_.delistWorker("w0");
        CPPUNIT_ASSERT(pool.startAll().empty());
        const auto worker = pool.scheduler_.state().workers_.find(LimitedPool::workerKey(0));
        CPPUNIT_ASSERT(!worker->second.runs_.empty());
        pool.scheduler_.workerLapsed(LimitedPool::workerKey(0), pool.now_);
        pool.startAll();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10), pool.used("a").accelerators_);
    }

    /** Guards against a new scheduler that doesn't count the runs of the former one, also on workers that it doesn't know yet. */
    void restoredRunsCount()
    {
        LimitedPool former;
        former.limit("a", 5);
        const std::string gang = former.submit(LimitedPool::step(2, 1, true), "a");
        const std::string tasks = former.submit(LimitedPool::step(9), "a");
        former.startAll();
        LimitedPool pool(0);
        pool.now_ = former.now_;
        pool.limit("a", 5);
        pool.restore(gang, former);
        pool.restore(tasks, former);
        pool.scheduler_.putWorker(LimitedPool::workerInfo(7), pool.now_);
        pool.scheduler_.setReachable(LimitedPool::workerKey(7));
        CPPUNIT_ASSERT(pool.place().empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), pool.used("a").accelerators_);
        pool.scheduler_.workerLapsed(LimitedPool::workerKey(0), pool.now_);
        pool.scheduler_.workerLapsed(LimitedPool::workerKey(1), pool.now_);
        pool.startAll();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), pool.used("a").accelerators_);
    }

    /** Guards against not counting runs that a worker reports and no record holds. */
    void unrecordedRunsCount()
    {
        LimitedPool pool;
        pool.limit("a", 3);
        const std::string job = pool.submit(LimitedPool::step(8), "a");
        PoolWorkerReport report;
        report.running_ = { { { { job, 0, 0, 6 }, 1 }, {}, 1 }, { { { job, 0, 0, 7 }, 1 }, {}, 1 }, { { { "00000000000000ff", 0, 0, 7 }, 1 }, {}, 1 } };
        pool.scheduler_.report(LimitedPool::workerKey(1), report, pool.now_, pool.now_);
        const std::vector<StartDecision> starts = pool.startAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), pool.used("a").accelerators_);
        report.running_.resize(1);
        pool.scheduler_.report(LimitedPool::workerKey(1), report, pool.now_, pool.now_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), pool.used("a").accelerators_);
        pool.scheduler_.workerRestarted(LimitedPool::workerKey(1), { "w1", 2 }, pool.now_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), pool.used("a").accelerators_);
    }

    /** Guards against forgetting runs without a record with the registry entry of their worker. */
    void unrecordedRunsOfDelistedWorkersCount()
    {
        LimitedPool pool;
        pool.limit("a", 3);
        const std::string job = pool.submit(LimitedPool::step(8), "a");
        PoolWorkerReport report;
        report.running_ = { { { { job, 0, 0, 6 }, 1 }, {}, 1 }, { { { job, 0, 0, 7 }, 1 }, {}, 1 } };
        pool.scheduler_.report(LimitedPool::workerKey(1), report, pool.now_, pool.now_);
        pool.scheduler_.delistWorker("w1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.startAll().size());
        report.running_.clear();
        pool.scheduler_.report(LimitedPool::workerKey(1), report, pool.now_, pool.now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.scheduler_.state().workers_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pool.startAll().size());
    }

    /** Guards against products that wrap around and look as if they fit. */
    void hugeNeedsDoNotOverflow()
    {
        const Resources limit { 1LL << 40, 1LL << 40, 1LL << 40 };
        StepSpec step = LimitedPool::step(2000000000, 1LL << 40, true);
        PoolJobSpec spec;
        spec.steps_ = { step };
        CPPUNIT_ASSERT(findLimitExcess(spec, limit));
        spec.steps_[0].isGang_ = false;
        CPPUNIT_ASSERT(!findLimitExcess(spec, limit));
        CPPUNIT_ASSERT(exceededResource(limit, { 0, 0, 1 }, step.resources_, 1) == ResourceKind::Accelerators);
        CPPUNIT_ASSERT(!exceededResource({}, { 0, 0, 1 }, step.resources_, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrganisationLimitTest);
