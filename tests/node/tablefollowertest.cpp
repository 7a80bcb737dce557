#include "node/tablefollower.h"

#include "base/bootclock.h"
#include "node/poolfixture.h"
#include "node/virtualclock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

/** Follows a table with more changes than one answer of its feed has, in virtual time. */
class TableFollowerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TableFollowerTest);
    CPPUNIT_TEST(readsRemainingChangesAtOnce);
    CPPUNIT_TEST(isNotCurrentBeforeAllPagesAreRead);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { clock_ = std::make_unique<VirtualClock>(); }
    void tearDown() override { clock_.reset(); }

private:
    void runFor(PoolFixture& pool, Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += 10ms) {
            clock_->advance(10ms);
            VirtualClock::poll(pool.loop_);
        }
    }

    /** Guards against a view that falls behind for good: 0.4 s passed between two pages, however many changes were left. */
    void readsRemainingChangesAtOnce()
    {
        PoolFixture pool;
        pool.store_.setFeedRows(10);
        int seen = 0;
        TableFollower follower(pool.loop_, pool.store_, pool.clock_, pool.log_, { "table" }, 500ms,
            { nullptr, [&seen](const StoredRow&) { ++seen; }, nullptr });
        follower.setPollPause(400ms);
        follower.start();
        runFor(pool, 100ms);
        const auto putAll = [&pool] {
            for (int i = 0; i < 100; ++i)
                pool.store_.put("table", std::to_string(i), "value");
        };
        putAll();
        runFor(pool, 500ms);
        CPPUNIT_ASSERT_EQUAL(100, seen);
        putAll();
        runFor(pool, 500ms);
        CPPUNIT_ASSERT_EQUAL(200, seen);
    }

    /** Guards against starts on a view that lacks older changes: a page that left some counted as the whole table. */
    void isNotCurrentBeforeAllPagesAreRead()
    {
        PoolFixture pool;
        pool.store_.setFeedRows(10);
        pool.store_.setPageRows(10);
        for (int i = 0; i < 25; ++i)
            pool.store_.put("table", std::to_string(i), "value");
        int seen = 0;
        Time putAt {};
        bool isOutdated = true;
        Time loadedAsOf {};
        std::unique_ptr<TableFollower> follower;
        follower = std::make_unique<TableFollower>(pool.loop_, pool.store_, pool.clock_, pool.log_, FollowedTable { "table" }, 500ms,
            TableFollower::Listener { [&](const std::vector<StoredRow>&) { loadedAsOf = follower->currentAsOf(); }, [&](const StoredRow&) { ++seen; },
                [&] { isOutdated = isOutdated && (seen == 0 || seen == 25 || follower->currentAsOf() < putAt); } });
        const Time startedAt = bootTimeNow();
        follower->start();
        runFor(pool, 100ms);
        CPPUNIT_ASSERT(loadedAsOf == startedAt || loadedAsOf == startedAt + 10ms);
        pool.store_.setFeedsSilent(true);
        runFor(pool, 600ms);
        putAt = bootTimeNow();
        for (int i = 0; i < 25; ++i)
            pool.store_.put("table", std::to_string(i), "value");
        runFor(pool, 100ms);
        pool.store_.setFeedsSilent(false);
        runFor(pool, 1s);
        CPPUNIT_ASSERT_EQUAL(25, seen);
        CPPUNIT_ASSERT(isOutdated);
        CPPUNIT_ASSERT(follower->currentAsOf() > putAt);
    }

    std::unique_ptr<VirtualClock> clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableFollowerTest);
