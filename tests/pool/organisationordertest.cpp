#include "pool/limitedpool.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

/** A pool of one worker that is filled by jobs of "a" and "b", while one more job of each waits. */
class ContendedPool {
public:
    explicit ContendedPool(std::map<std::string, OrganisationPolicy> policies, int tasksOfA = 6, int priority = 1)
        : pool_(1)
    {
        pool_.scheduler_.setOrganisations(std::move(policies));
        pool_.submit(LimitedPool::step(tasksOfA), "a");
        pool_.submit(LimitedPool::step(8 - tasksOfA), "b");
        pool_.startAll();
        pool_.now_ += 10s; // the rates of these jobs no longer matter
        pool_.submit(LimitedPool::step(1), "a", priority);
        pool_.now_ += 10ms;
        pool_.submit(LimitedPool::step(1), "b", priority);
    }

    /** The organisation whose job starts when one run of `organisation` ends. */
    std::string next(const std::string& organisation)
    {
        const PoolState& state = pool_.scheduler_.state();
        for (const auto& [id, run] : std::map<RunId, TaskRun>(state.runs_)) {
            if (state.jobs_.at(id.task_.job_).policy_.organisation_ == organisation) {
                pool_.end(id);
                break;
            }
        }
        const std::vector<StartDecision> starts = pool_.startAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
        return state.jobs_.at(starts.front().run_.task_.job_).policy_.organisation_;
    }

    LimitedPool pool_;
};

OrganisationPolicy weighted(double weight)
{
    return { weight, {} };
}

}

/** Weights and rates order the waiting work of organisations while the pool is full. */
class OrganisationOrderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrganisationOrderTest);
    CPPUNIT_TEST(withoutWeightsOrderIsByDueTime);
    CPPUNIT_TEST(organisationAboveItsShareWaits);
    CPPUNIT_TEST(weightsDivideThePool);
    CPPUNIT_TEST(guaranteedWorkKeepsItsTurn);
    CPPUNIT_TEST(submissionsBeyondTheRateWait);
    CPPUNIT_TEST(submissionsBeyondTheRateComeAfterLargeShares);
    CPPUNIT_TEST(rateIsRebuiltInAnyOrder);
    CPPUNIT_TEST(oldSubmissionsAreForgotten);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against a change of the order where operators set no weights. */
    void withoutWeightsOrderIsByDueTime()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("a"), ContendedPool({}).next("b"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), ContendedPool({ { "a", { 0, { 0, 0, 16 } } } }).next("b"));
    }

    /** Guards against an organisation that takes more than its share because its jobs are due first. */
    void organisationAboveItsShareWaits()
    {
        ContendedPool contended({ { "a", weighted(1) }, { "b", weighted(1) } });
        CPPUNIT_ASSERT_EQUAL(std::string("b"), contended.next("b"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), contended.next("a"));
    }

    /** Guards against shares that ignore the weights. */
    void weightsDivideThePool()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("a"), ContendedPool({ { "a", weighted(30) }, { "b", weighted(10) } }).next("a"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), ContendedPool({ { "a", weighted(90) }, { "b", weighted(10) } }).next("b"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), ContendedPool({ { "a", weighted(20) }, { "b", weighted(10) } }).next("b"));
    }

    /** Guards against guaranteed work that waits for others because its organisation uses much. */
    void guaranteedWorkKeepsItsTurn()
    {
        ContendedPool contended({ { "a", weighted(1) }, { "b", weighted(1) } }, 6, 0);
        contended.pool_.scheduler_.setGuarantees({ { "a", 8 }, { "b", 8 } });
        CPPUNIT_ASSERT_EQUAL(std::string("a"), contended.next("b"));
    }

    /** Guards against an organisation that gets more than others by submitting faster than its rate. */
    void submissionsBeyondTheRateWait()
    {
        LimitedPool pool(1);
        pool.scheduler_.setSubmissionWindow(2s);
        pool.scheduler_.setOrganisations({ { "a", weighted(1) }, { "b", weighted(1) } });
        std::vector<std::string> jobs;
        jobs.reserve(4);
        for (int i = 0; i < 4; ++i)
            jobs.push_back(pool.submit(LimitedPool::step(1, 4), "a"));
        pool.now_ += 10ms;
        jobs.push_back(pool.submit(LimitedPool::step(1, 4), "b"));
        std::vector<std::string> order;
        while (order.size() < jobs.size()) {
            const std::vector<StartDecision> starts = pool.startAll();
            CPPUNIT_ASSERT(!starts.empty());
            for (const StartDecision& start : starts)
                order.push_back(start.run_.task_.job_);
            pool.end(starts.front().run_);
        }
        CPPUNIT_ASSERT(order == (std::vector<std::string> { jobs[0], jobs[1], jobs[4], jobs[2], jobs[3] }));
    }

    /** Guards against a small share that makes up for submissions beyond the rate. */
    void submissionsBeyondTheRateComeAfterLargeShares()
    {
        LimitedPool pool(1);
        pool.scheduler_.setSubmissionWindow(2s);
        pool.scheduler_.setOrganisations({ { "a", weighted(1) }, { "b", weighted(1) } });
        const auto submit = [&pool](const std::string& organisation) { return pool.submit(LimitedPool::step(1, 4), organisation); };
        const std::string first = submit("a");
        submit("b");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pool.startAll().size());
        const std::string second = submit("a");
        const std::string beyondRate = submit("a");
        pool.now_ += 10ms;
        const std::string other = submit("b");
        std::string last = first;
        for (const std::string& next : { second, other }) {
            pool.end({ { last, 0, 0, 0 }, 1 });
            const std::vector<StartDecision> starts = pool.startAll();
            CPPUNIT_ASSERT(starts.size() == 1 && starts.front().run_.task_.job_ == next);
            last = next;
        }
        CPPUNIT_ASSERT(pool.scheduler_.state().jobs_.at(beyondRate).state_ == PoolJobState::Queued);
    }

    /** Guards against rates that depend on the order in which a new lease holder reads the jobs. */
    void rateIsRebuiltInAnyOrder()
    {
        const Time start { 1000s };
        std::map<std::string, int> forward;
        std::map<std::string, int> backward;
        SubmissionRates first;
        SubmissionRates second;
        for (int i = 0; i < 10; ++i)
            first.add("a", "job" + std::to_string(i), start + i / 3 * 1s);
        for (int i = 10; i-- > 0;)
            second.add("a", "job" + std::to_string(i), start + i / 3 * 1s);
        first.assign([&](const std::string& job, int count) { forward[job] = count; }, start + 20s);
        second.assign([&](const std::string& job, int count) { backward[job] = count; }, start + 20s);
        CPPUNIT_ASSERT(forward == backward);
        CPPUNIT_ASSERT_EQUAL(1, forward["job0"]);
        CPPUNIT_ASSERT_EQUAL(2, forward["job1"]);
        CPPUNIT_ASSERT_EQUAL(10, forward["job9"]);
    }

    /** Guards against rates that count all jobs that ever came, and memory that grows with them. */
    void oldSubmissionsAreForgotten()
    {
        SubmissionRates rates;
        const Time start { 1000s };
        int last = 0;
        for (int i = 0; i < 100; ++i) {
            rates.add("a", "job" + std::to_string(i), start + i * 1s);
            rates.assign([&last](const std::string&, int count) { last = count; }, start + i * 1s);
        }
        CPPUNIT_ASSERT_EQUAL(5, last);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrganisationOrderTest);
