#include "model/permitmodel.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;

namespace {

constexpr std::size_t maxStates = 1'500'000;
constexpr PermitModel::Size oneTakeOut { { 1000, 1000, 1000 }, 1, 2, 3 };
constexpr PermitModel::Size slowHolder { { 1000, 1001, 1000 }, 1, 2, 3 };
constexpr PermitModel::Size threeChanges { { 1000, 1001, 1000 }, 3, 1, 2 };

}

/** Checks all interleavings of taking a data centre out of service and returning it in a bounded model. */
class PermitModelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PermitModelTest);
    CPPUNIT_TEST(nothingStartsOnceDone);
    CPPUNIT_TEST(findsEveryFault);
    CPPUNIT_TEST_SUITE_END();

    void nothingStartsOnceDone()
    {
        for (const PermitModel::Size& size : { oneTakeOut, slowHolder, threeChanges }) {
            const Exploration exploration = explore(PermitModel(PermitFault::None, size), maxStates);
            report("start permit", exploration);
            CPPUNIT_ASSERT_MESSAGE(traceText(exploration), exploration.violation_.empty() && exploration.isComplete_);
        }
    }

    void findsEveryFault()
    {
        for (const PermitFault fault : { PermitFault::PermitFromAnswer, PermitFault::StartNotBounded, PermitFault::DoneWithoutWaiting,
                 PermitFault::AcknowledgesWithStartsInFlight, PermitFault::AcceptsStaleRows }) {
            const Exploration exploration = explore(PermitModel(fault, oneTakeOut), maxStates);
            report("start permit with fault " + std::to_string(static_cast<int>(fault)), exploration);
            CPPUNIT_ASSERT(!exploration.violation_.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitModelTest);
