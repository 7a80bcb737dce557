#include "model/permitworld.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;

namespace {

constexpr std::size_t mostStates = 1'500'000;
constexpr PermitWorld::Size oneTakeOut { { 1000, 1000, 1000 }, 1, 2, 3 };
constexpr PermitWorld::Size slowHolder { { 1000, 1001, 1000 }, 1, 2, 3 };
constexpr PermitWorld::Size outInOut { { 1000, 1001, 1000 }, 3, 1, 2 };

}

/** Every interleaving of taking a data centre out and returning it in a small world. */
class PermitModelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PermitModelTest);
    CPPUNIT_TEST(nothingStartsAfterDone);
    CPPUNIT_TEST(findsEveryFault);
    CPPUNIT_TEST_SUITE_END();

    void nothingStartsAfterDone()
    {
        for (const PermitWorld::Size& size : { oneTakeOut, slowHolder, outInOut }) {
            const Exploration exploration = explore(PermitWorld(PermitFault::None, size), mostStates);
            report("start permit", exploration);
            CPPUNIT_ASSERT_MESSAGE(traceText(exploration), exploration.violation_.empty() && exploration.isComplete_);
        }
    }

    void findsEveryFault()
    {
        for (const PermitFault fault : { PermitFault::PermitFromAnswer, PermitFault::StartNotBounded, PermitFault::DoneWithoutWaiting,
                 PermitFault::AcknowledgesWithStartsInFlight, PermitFault::TakesOldRows }) {
            const Exploration exploration = explore(PermitWorld(fault, oneTakeOut), mostStates);
            report("start permit with fault " + std::to_string(static_cast<int>(fault)), exploration);
            CPPUNIT_ASSERT(!exploration.violation_.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitModelTest);
