#include "model/leasemodel.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;

namespace {

constexpr std::size_t maxStates = 1'500'000;
/** Clock rates of the two instances and the worker, in thousandths. They differ by at most the drift bound of 1/1000. */
constexpr std::array<int, 3> equalRates { 1000, 1000, 1000 };
constexpr std::array<int, 3> fastCandidate { 1000, 1001, 1000 };

}

/** Checks all interleavings of the scheduler lease in a bounded model. */
class LeaseModelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeaseModelTest);
    CPPUNIT_TEST(neverHasTwoHolders);
    CPPUNIT_TEST(findsEveryFault);
    CPPUNIT_TEST_SUITE_END();

    void neverHasTwoHolders()
    {
        for (const auto& rates : { equalRates, fastCandidate }) {
            const Exploration exploration = explore(LeaseModel(LeaseFault::None, { rates }), maxStates);
            report("lease", exploration);
            CPPUNIT_ASSERT_MESSAGE(traceText(exploration), exploration.violation_.empty() && exploration.isComplete_);
        }
    }

    void findsEveryFault()
    {
        for (const LeaseFault fault : { LeaseFault::ValidityFromAnswer, LeaseFault::CandidateWaitsTooShort, LeaseFault::CandidateIgnoresDrift,
                 LeaseFault::IgnoresHeartbeat, LeaseFault::FullLeaseForAStart, LeaseFault::RenewsWithoutCondition }) {
            const Exploration exploration = explore(LeaseModel(fault, { fastCandidate }), maxStates);
            report("lease with fault " + std::to_string(static_cast<int>(fault)), exploration);
            CPPUNIT_ASSERT(!exploration.violation_.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseModelTest);
