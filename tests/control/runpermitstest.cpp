#include "control/runpermits.h"

#include "control/clockdrift.h"
#include "control/renewalduty.h"
#include "support/property.h"

#include <algorithm>

using namespace fescuecleat;

namespace {

const WorkerId worker("w1");
const InstanceId peer("p1");

Time at(Duration::rep seconds)
{
    return Time(std::chrono::seconds(seconds));
}

}

/** When the holder may believe that a silent worker has stopped. */
class RunPermitsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunPermitsTest);
    CPPUNIT_TEST(waitsForEveryRenewal);
    CPPUNIT_TEST(waitsForSilentInstances);
    CPPUNIT_TEST(neverGivesUpARunningWorker);
    CPPUNIT_TEST_SUITE_END();

    void waitsForEveryRenewal()
    {
        RunPermits permits;
        permits.epochBegan(at(0));
        CPPUNIT_ASSERT(!permits.hasCertainlyLapsedAt(worker, at(22)));
        CPPUNIT_ASSERT(permits.hasCertainlyLapsedAt(worker, at(23)));
        permits.renewalSent(worker, at(32));
        CPPUNIT_ASSERT(!permits.hasCertainlyLapsedAt(worker, at(52)));
        CPPUNIT_ASSERT(permits.hasCertainlyLapsedAt(worker, at(53)));
    }

    void waitsForSilentInstances()
    {
        RunPermits permits;
        permits.epochBegan(at(0));
        permits.instancesListed({ peer }, at(0));
        CPPUNIT_ASSERT(!permits.hasCertainlyLapsedAt(worker, at(3600)));
        CPPUNIT_ASSERT(permits.silentInstancesAt(at(3600)) == std::vector<InstanceId> { peer });
        permits.instanceAnswered(peer, at(3600), at(3601));
        CPPUNIT_ASSERT(!permits.hasCertainlyLapsedAt(worker, at(3603)));
        for (Duration::rep second = 3604; second < 3630; second += 4)
            permits.instanceAnswered(peer, at(second), at(second));
        CPPUNIT_ASSERT(permits.hasCertainlyLapsedAt(worker, at(3630)));
        permits.instancesListed({}, at(3640));
        CPPUNIT_ASSERT(!permits.hasCertainlyLapsedAt(worker, at(3640)));
        CPPUNIT_ASSERT(permits.hasCertainlyLapsedAt(worker, at(3664)));
    }

    /**
     * A holder and a peer renew a worker over links that fail at random. The
     * worker's clock drifts. Whenever the holder gives the worker up, the
     * worker's own permit has lapsed, and nothing on its way can renew it.
     */
    void neverGivesUpARunningWorker()
    {
        int givenUp = 0;
        CHECK_PROPERTY("a given-up worker has stopped", [&givenUp](const std::vector<std::uint8_t>& links, bool isSlow) {
            const ControlTiming timing;
            const double rate = isSlow ? 1 - 1.0 / maxClockDriftDivisor : 1 + 1.0 / maxClockDriftDivisor;
            RunPermits permits(timing);
            RenewalDuty duty(timing);
            permits.epochBegan(at(0));
            permits.instancesListed({ peer }, at(0));
            duty.heard(at(0));
            double lapse = 0;
            int unanswered = 0;
            for (std::size_t second = 0; second < 40 * links.size(); ++second) {
                const std::uint8_t link = links[second / 40];
                const Time now = at(static_cast<Duration::rep>(second));
                const bool reachesWorker = link & 1U;
                const bool reachesPeer = link & 2U;
                const bool peerReachesWorker = link & 4U;
                const bool losesAnswer = link & 8U;
                // A renewal may arrive at any moment of its window.
                const double latest = static_cast<double>((now + timing.renewalWindow_).time_since_epoch().count());
                const double taken = latest + static_cast<double>(timing.runPermit_.count()) / rate;
                if (unanswered < 3 || reachesWorker) {
                    permits.renewalSent(worker, now + timing.renewalWindow_);
                    ++unanswered;
                    if (reachesWorker || losesAnswer)
                        lapse = std::max(lapse, taken);
                }
                if (reachesWorker) {
                    permits.workerAnswered(worker, now);
                    unanswered = 0;
                }
                if (reachesPeer) {
                    duty.heard(now);
                    permits.instanceAnswered(peer, now, now);
                }
                if (peerReachesWorker && duty.mayRenewAt(now))
                    lapse = std::max(lapse, taken);
                if (permits.hasCertainlyLapsedAt(worker, now)) {
                    ++givenUp;
                    RC_ASSERT(static_cast<double>(now.time_since_epoch().count()) >= lapse);
                }
            }
        });
        CPPUNIT_ASSERT(givenUp > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunPermitsTest);
