#include "pool/poolday.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

constexpr double failingShare = 1.0 / 12;
/** The test pool_deep plays more of them. */
constexpr unsigned defaultHistories = 100;

}

/** Whole days of load, at the sizes of the users' deployments. */
class DayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DayTest);
    CPPUNIT_TEST(guaranteedJobsStartInTime);
    CPPUNIT_TEST(failingWorkersAreQuarantined);
    CPPUNIT_TEST(sameSeedGivesSameDay);
    CPPUNIT_TEST_SUITE_END();

    /** Histories of guaranteed demand in a pool that others fill, with bursts, failing and slow workers. */
    void guaranteedJobsStartInTime()
    {
        const char* const histories = std::getenv("POOL_HISTORIES");
        const unsigned count = histories == nullptr ? defaultHistories : static_cast<unsigned>(std::stoul(histories));
        for (unsigned seed = 1; seed <= count; ++seed) {
            std::vector<DayTrouble> troubles = heavyDay(seed);
            // Without its lost data centre: what is left then need not hold all guarantees.
            troubles.pop_back();
            const DayResult result = PoolDay(smallDeployment(), troubles, seed).run(20s, 5s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), 0, result.lateGuarantees_);
        }
    }

    /** A twelfth of a large pool fails all that it starts. */
    void failingWorkersAreQuarantined()
    {
        int failedRuns = 0;
        for (unsigned seed = 1; seed <= 3; ++seed) {
            const DayTrouble burst { DayTroubleKind::Burst, 4s, 8s, 0, 2.5, -1, 0 };
            const DayTrouble failing { DayTroubleKind::FailingWorkers, 8s, 7s, failingShare, 1, -1, 0 };
            failedRuns += PoolDay(largeDeployment(), { burst, failing }, seed).run(16s, 5s).runsOnFailingWorkers_;
        }
        // Per failing worker: its 8 places are filled by two jobs until it is quarantined and once more before that is known.
        const int failingWorkers = 3 * static_cast<int>(failingShare * largeDeployment().workers_);
        CPPUNIT_ASSERT(failedRuns <= failingWorkers * 8 * 3);
    }

    void sameSeedGivesSameDay()
    {
        const auto play = [] { return PoolDay(smallDeployment(), heavyDay(7), 7).run(20s, 5s); };
        const DayResult first = play();
        const DayResult second = play();
        CPPUNIT_ASSERT_EQUAL(first.starts_, second.starts_);
        CPPUNIT_ASSERT_EQUAL(first.share(), second.share());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DayTest);
