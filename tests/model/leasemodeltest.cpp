#include "model/leaseworld.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;

namespace {

constexpr std::size_t mostStates = 1'500'000;
/** Rates of the two instances and of the worker, in thousandths; at most 1/1000 apart. */
constexpr std::array<int, 3> evenRates { 1000, 1000, 1000 };
constexpr std::array<int, 3> fastCandidate { 1000, 1001, 1000 };

}

/** Every interleaving of the scheduler lease in a small world. */
class LeaseModelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeaseModelTest);
    CPPUNIT_TEST(neverHeldTwice);
    CPPUNIT_TEST(findsEveryFault);
    CPPUNIT_TEST_SUITE_END();

    void neverHeldTwice()
    {
        for (const auto& rates : { evenRates, fastCandidate }) {
            const Exploration exploration = explore(LeaseWorld(LeaseFault::None, { rates }), mostStates);
            report("lease", exploration);
            CPPUNIT_ASSERT_MESSAGE(traceText(exploration), exploration.violation_.empty() && exploration.isComplete_);
        }
    }

    void findsEveryFault()
    {
        for (const LeaseFault fault : { LeaseFault::ValidityFromAnswer, LeaseFault::CandidateWaitsTooShort, LeaseFault::CandidateIgnoresDrift,
                 LeaseFault::IgnoresHeartbeat, LeaseFault::WholeLeaseForAStart, LeaseFault::IgnoresEpochAtCommit }) {
            const Exploration exploration = explore(LeaseWorld(fault, { fastCandidate }), mostStates);
            report("lease with fault " + std::to_string(static_cast<int>(fault)), exploration);
            CPPUNIT_ASSERT(!exploration.violation_.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseModelTest);
