#include "control/runpermits.h"

#include "control/clockdrift.h"
#include "control/fallbackrenewal.h"
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

/** When the lease holder may assume that a worker that does not answer has stopped its tasks. */
class RunPermitsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunPermitsTest);
    CPPUNIT_TEST(waitsForEveryRenewal);
    CPPUNIT_TEST(waitsForSilentInstances);
    CPPUNIT_TEST(neverDeclaresARunningWorkerExpired);
    CPPUNIT_TEST_SUITE_END();

    void waitsForEveryRenewal()
    {
        RunPermits permits;
        permits.beginEpoch(at(0));
        CPPUNIT_ASSERT(!permits.hasExpiredAt(worker, at(22)));
        CPPUNIT_ASSERT(permits.hasExpiredAt(worker, at(23)));
        permits.renewalSent(worker, at(32));
        CPPUNIT_ASSERT(!permits.hasExpiredAt(worker, at(52)));
        CPPUNIT_ASSERT(permits.hasExpiredAt(worker, at(53)));
    }

    void waitsForSilentInstances()
    {
        RunPermits permits;
        permits.beginEpoch(at(0));
        permits.instancesListed({ peer }, at(0));
        CPPUNIT_ASSERT(!permits.hasExpiredAt(worker, at(3600)));
        CPPUNIT_ASSERT(permits.silentInstancesAt(at(3600)) == std::vector<InstanceId> { peer });
        permits.instanceAnswered(peer, at(3600), at(3601));
        CPPUNIT_ASSERT(!permits.hasExpiredAt(worker, at(3603)));
        for (Duration::rep second = 3604; second < 3630; second += 4)
            permits.instanceAnswered(peer, at(second), at(second));
        CPPUNIT_ASSERT(permits.hasExpiredAt(worker, at(3630)));
        permits.instancesListed({}, at(3640));
        CPPUNIT_ASSERT(!permits.hasExpiredAt(worker, at(3640)));
        CPPUNIT_ASSERT(permits.hasExpiredAt(worker, at(3664)));
    }

    /**
     * The holder and a peer renew the permit of a worker over links that fail at
     * random, while the clock of the worker drifts. Whenever hasExpiredAt() is
     * true, the permit has expired by the worker's own clock and no renewal in
     * flight can extend it.
     */
    void neverDeclaresARunningWorkerExpired()
    {
        int expired = 0;
        CHECK_PROPERTY("a worker declared lapsed has stopped", [&expired](const std::vector<std::uint8_t>& links, bool isSlow) {
            const ControlTiming timing;
            const double rate = isSlow ? 1 - 1.0 / clockDriftDivisor : 1 + 1.0 / clockDriftDivisor;
            RunPermits permits(timing);
            FallbackRenewal fallback(timing);
            permits.beginEpoch(at(0));
            permits.instancesListed({ peer }, at(0));
            fallback.noteContact(at(0));
            double expiresAt = 0;
            int unanswered = 0;
            for (std::size_t second = 0; second < 40 * links.size(); ++second) {
                const std::uint8_t link = links[second / 40];
                const Time now = at(static_cast<Duration::rep>(second));
                const bool reachesWorker = link & 1U;
                const bool reachesPeer = link & 2U;
                const bool peerReachesWorker = link & 4U;
                const bool losesAnswer = link & 8U;
                // Worst case: the renewal arrives at the end of its acceptance window.
                const double latestArrival = static_cast<double>((now + timing.renewalAcceptanceWindow_).time_since_epoch().count());
                const double renewedUntil = latestArrival + static_cast<double>(timing.runPermitDuration_.count()) / rate;
                if (unanswered < 3 || reachesWorker) {
                    permits.renewalSent(worker, now + timing.renewalAcceptanceWindow_);
                    ++unanswered;
                    if (reachesWorker || losesAnswer)
                        expiresAt = std::max(expiresAt, renewedUntil);
                }
                if (reachesWorker) {
                    permits.workerAnswered(worker, now);
                    unanswered = 0;
                }
                if (reachesPeer) {
                    fallback.noteContact(now);
                    permits.instanceAnswered(peer, now, now);
                }
                if (peerReachesWorker && fallback.mayRenewAt(now))
                    expiresAt = std::max(expiresAt, renewedUntil);
                if (permits.hasExpiredAt(worker, now)) {
                    ++expired;
                    RC_ASSERT(static_cast<double>(now.time_since_epoch().count()) >= expiresAt);
                }
            }
        });
        CPPUNIT_ASSERT(expired > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunPermitsTest);
