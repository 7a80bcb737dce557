#include "pool/limitedpool.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

/** Urgent work within the guarantee starts although other work of its organisation fills the limit. */
class LimitPreemptionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LimitPreemptionTest);
    CPPUNIT_TEST(urgentGangStopsOwnWork);
    CPPUNIT_TEST(allTasksGetRoomAtOnce);
    CPPUNIT_TEST(freedRoomIsKept);
    CPPUNIT_TEST(victimsOnSilentWorkersDoNotHelp);
    CPPUNIT_TEST(victimsWithoutTheResourceDoNotHelp);
    CPPUNIT_TEST(noStopsForWorkThatFindsNoPlace);
    CPPUNIT_TEST(noStopsForWorkThatNeverFits);
    CPPUNIT_TEST(costlyWorkIsKeptBeyondTheGuarantee);
    CPPUNIT_TEST(wideGangsAreNotStarved);
    CPPUNIT_TEST(waitingIsAnnouncedOnce);
    CPPUNIT_TEST_SUITE_END();

    static int stopsOf(const LimitedPool& pool, const std::string& organisation)
    {
        int count = 0;
        for (const auto& [id, run] : pool.scheduler_.state().runs_)
            count += run.phase_ == RunPhase::Stopping && pool.scheduler_.state().jobs_.at(id.task_.job_).policy_.organisation_ == organisation ? 1 : 0;
        return count;
    }

    /** Guards against guaranteed work that waits for other work of its organisation, and against stops of others' work. */
    void urgentGangStopsOwnWork()
    {
        LimitedPool pool;
        pool.scheduler_.setGuarantees({ { "a", 4 } });
        pool.limit("a", 4);
        pool.submit(LimitedPool::step(4), "a");
        pool.submit(LimitedPool::step(12), "b", 2);
        pool.startAll();
        const std::string urgent = pool.submit(LimitedPool::step(2, 1, true), "a", 0);
        CPPUNIT_ASSERT(pool.startAll().empty());
        CPPUNIT_ASSERT_EQUAL(2, stopsOf(pool, "a"));
        CPPUNIT_ASSERT_EQUAL(0, stopsOf(pool, "b"));
        CPPUNIT_ASSERT(pool.startAll().empty());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("stops under way count", 2, stopsOf(pool, "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pool.endStopped().size());
        const std::vector<StartDecision> starts = pool.startAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), starts.size());
        CPPUNIT_ASSERT_EQUAL(urgent, starts.front().run_.task_.job_);
    }

    /** Guards against single urgent tasks that wait for each other's stops in turn. */
    void allTasksGetRoomAtOnce()
    {
        LimitedPool pool;
        pool.scheduler_.setGuarantees({ { "a", 6 } });
        pool.limit("a", 6);
        pool.submit(LimitedPool::step(6), "a");
        pool.startAll();
        pool.submit(LimitedPool::step(6), "a", 0);
        pool.startAll();
        CPPUNIT_ASSERT_EQUAL(6, stopsOf(pool, "a"));
        pool.endStopped();
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), pool.startAll().size());
    }

    /** Guards against stopped work that takes the room back before the gang for which it was stopped fits. */
    void freedRoomIsKept()
    {
        LimitedPool pool;
        pool.scheduler_.setGuarantees({ { "a", 4 } });
        pool.limit("a", 4);
        pool.submit(LimitedPool::step(4), "a");
        pool.submit(LimitedPool::step(4), "a", 2);
        pool.startAll();
        pool.submit(LimitedPool::step(4, 1, true), "a", 0);
        pool.place();
        std::vector<RunId> running;
        for (const auto& [id, run] : pool.scheduler_.state().runs_)
            running.push_back(id);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), running.size());
        for (std::size_t i = 0; i < 3; ++i) {
            pool.end(running[i], EndReason::Stopped);
            CPPUNIT_ASSERT(pool.startAll().empty());
        }
        pool.end(running[3], EndReason::Stopped);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), pool.startAll().size());
    }

    /** Guards against stopping runs that are gone only when the lease of their silent worker has expired. */
    void victimsOnSilentWorkersDoNotHelp()
    {
        LimitedPool pool;
        pool.scheduler_.setGuarantees({ { "a", 16 } });
        pool.limit("a", 16);
        pool.submit(LimitedPool::step(16), "a");
        pool.startAll();
        pool.scheduler_.setSilent(LimitedPool::workerKey(0), pool.now_, pool.now_);
        pool.submit(LimitedPool::step(3), "a", 0);
        pool.startAll();
        CPPUNIT_ASSERT_EQUAL(3, stopsOf(pool, "a"));
        for (const auto& [id, run] : pool.scheduler_.state().runs_)
            CPPUNIT_ASSERT(run.phase_ != RunPhase::Stopping || run.worker_ == LimitedPool::workerKey(1));
    }

    /** Guards against stopping work that uses nothing of the resource that is lacking. */
    void victimsWithoutTheResourceDoNotHelp()
    {
        LimitedPool pool;
        pool.scheduler_.setGuarantees({ { "a", 8 } });
        pool.limit("a", 2);
        const std::string processors = pool.submit(LimitedPool::step(6, 0), "a");
        pool.now_ += 2s;
        pool.startAll();
        pool.submit(LimitedPool::step(2), "a");
        pool.startAll();
        pool.submit(LimitedPool::step(1), "a", 0);
        pool.startAll();
        CPPUNIT_ASSERT_EQUAL(1, stopsOf(pool, "a"));
        for (const auto& [id, run] : pool.scheduler_.state().runs_)
            CPPUNIT_ASSERT(run.phase_ != RunPhase::Stopping || id.task_.job_ != processors);
    }

    /** Guards against stopping work again and again for a unit that no worker suits. */
    void noStopsForWorkThatFindsNoPlace()
    {
        LimitedPool pool;
        pool.scheduler_.setGuarantees({ { "a", 4 } });
        pool.limit("a", 4);
        pool.submit(LimitedPool::step(8), "a");
        pool.startAll();
        StepSpec step = LimitedPool::step(1);
        step.requiredLabel_ = "missing";
        pool.submit(step, "a", 0);
        pool.startAll();
        CPPUNIT_ASSERT_EQUAL(0, stopsOf(pool, "a"));
        pool.end(pool.scheduler_.state().runs_.begin()->first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.startAll().size());
    }

    /** Guards against stopping work for a unit that a lowered limit can't hold even alone. */
    void noStopsForWorkThatNeverFits()
    {
        LimitedPool pool;
        pool.scheduler_.setGuarantees({ { "a", 16 } });
        pool.limit("a", 4);
        pool.submit(LimitedPool::step(8), "a");
        pool.startAll();
        pool.submit(LimitedPool::step(5, 1, true), "a", 0);
        pool.startAll();
        CPPUNIT_ASSERT_EQUAL(0, stopsOf(pool, "a"));
        pool.end(pool.scheduler_.state().runs_.begin()->first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.startAll().size());
    }

    /** Guards against losing more work than an urgent job beyond the guarantee brings. */
    void costlyWorkIsKeptBeyondTheGuarantee()
    {
        for (const std::int64_t guarantee : { 0, 4 }) {
            LimitedPool pool;
            pool.scheduler_.setGuarantees({ { "a", guarantee } });
            pool.limit("a", 4);
            StepSpec step = LimitedPool::step(4);
            step.estimate_ = 60s;
            pool.submit(step, "a");
            pool.startAll();
            pool.now_ += 50s;
            pool.submit(LimitedPool::step(1), "a", 0);
            pool.startAll();
            CPPUNIT_ASSERT_EQUAL(guarantee == 0 ? 0 : 1, stopsOf(pool, "a"));
        }
    }

    /** Guards against a gang that never starts, as single tasks of its organisation take each bit of room. */
    void wideGangsAreNotStarved()
    {
        LimitedPool pool;
        pool.limit("a", 8);
        pool.submit(LimitedPool::step(40), "a", 2);
        pool.startAll();
        const std::string gang = pool.submit(LimitedPool::step(8, 1, true), "a");
        pool.now_ += 9s; // its latest start is near
        for (int round = 0; round < 8; ++round) {
            CPPUNIT_ASSERT(pool.scheduler_.state().jobs_.at(gang).state_ == PoolJobState::Queued);
            pool.end(pool.scheduler_.state().runs_.begin()->first);
            pool.startAll();
        }
        CPPUNIT_ASSERT(pool.scheduler_.state().jobs_.at(gang).state_ == PoolJobState::Running);
    }

    /** Guards against a log line for each pass while an organisation waits. */
    void waitingIsAnnouncedOnce()
    {
        LimitedPool pool;
        pool.limit("a", 2);
        pool.submit(LimitedPool::step(3), "a");
        std::vector<LimitChange> changes;
        const auto pass = [&] {
            pool.now_ += 10ms;
            pool.scheduler_.schedule(pool.now_, 0);
            const Decisions decisions = pool.scheduler_.takeDecisions();
            pool.accept(decisions.starts_);
            changes.insert(changes.end(), decisions.limitChanges_.begin(), decisions.limitChanges_.end());
        };
        pass();
        pass();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.size());
        CPPUNIT_ASSERT(changes[0].isWaiting_ && changes[0].resource_ == ResourceKind::Accelerators);
        CPPUNIT_ASSERT(changes[0].limit_ == 2 && changes[0].used_ == 2 && changes[0].organisation_ == "a");
        CPPUNIT_ASSERT_EQUAL(1, pool.scheduler_.state().limitWaits_.at("a").jobs_);
        pool.end(pool.scheduler_.state().runs_.begin()->first);
        pass();
        pass();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes.size());
        CPPUNIT_ASSERT(!changes[1].isWaiting_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitPreemptionTest);
