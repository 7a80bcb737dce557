#include "node/storeoutagescene.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

constexpr Duration outage = 5s;
/** Starts go on this long after an outage at the latest. */
constexpr Duration recoveryLimit = 500ms;

void checkOutage(StoreFault fault, const char* name)
{
    std::string figures;
    bool isWithinLimit = true;
    for (const bool onlyHolder : { false, true }) {
        Duration longest {};
        // The outage begins at several moments of the renewals' and the followers' intervals.
        for (Duration offset = 0ms; offset < 500ms; offset += 130ms) {
            StoreOutageScene scene;
            CPPUNIT_ASSERT(scene.settle());
            scene.run(offset);
            scene.fail(fault, outage, onlyHolder);
            scene.run(outage + 6s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(scene.violations().empty() ? "" : scene.violations().front(), std::size_t(0), scene.violations().size());
            longest = std::max(longest, scene.longestGap());
        }
        figures += std::string(name) + (onlyHolder ? " for the holder alone: " : " for all: ") + std::to_string(wholeMilliseconds(longest)) + " ms without a start\n";
        isWithinLimit = isWithinLimit && longest <= outage + recoveryLimit;
    }
    if (std::getenv("POOL_FIGURES") != nullptr)
        std::cout << "\n"
                  << figures;
    CPPUNIT_ASSERT_MESSAGE(figures, isWithinLimit);
}

}

/** Guards against seconds without a start after an outage of the store, because the lease was given up and all jobs were read again. */
class StoreOutageTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreOutageTest);
    CPPUNIT_TEST(silentStore);
    CPPUNIT_TEST(resettingStore);
    CPPUNIT_TEST(refusingStore);
    CPPUNIT_TEST(slowStore);
    CPPUNIT_TEST_SUITE_END();

    void silentStore() { checkOutage(StoreFault::Silent, "silent"); }
    void resettingStore() { checkOutage(StoreFault::Resetting, "resetting"); }
    void refusingStore() { checkOutage(StoreFault::Refusing, "refusing"); }
    void slowStore() { checkOutage(StoreFault::Slow, "slow"); }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoreOutageTest, "storeoutage");
