#include "node/poolfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

/** The scheduler's lease with a slow store. In a registry of its own, because KNOWN-RED.txt lists it. */
class SlowStoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SlowStoreTest);
    CPPUNIT_TEST(keepsLeaseWhileStoreIsSlow);
    CPPUNIT_TEST_SUITE_END();

    /** Writes that take nearly a second must not lose the lease to another instance. */
    void keepsLeaseWhileStoreIsSlow()
    {
        PoolFixture pool;
        const auto first = pool.scheduler("a");
        CPPUNIT_ASSERT(pool.runUntil([&] { return first->controller() != nullptr; }));
        const auto second = pool.scheduler("b");
        pool.store_.setCommitDelay(900ms);
        CPPUNIT_ASSERT(!pool.runUntil([&] { return first->controller() == nullptr || second->controller() != nullptr; }, 5s));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SlowStoreTest, "slowstore");
