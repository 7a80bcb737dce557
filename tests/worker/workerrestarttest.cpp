#include "worker/workerlink.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;

/** A worker that restarts under its name within the suspect timeout, with a clock that starts anew. */
class WorkerRestartTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerRestartTest);
    CPPUNIT_TEST(lostWorkerHoldsNoPermitByTheClockOfItsFormerIncarnation);
    CPPUNIT_TEST(startDeadlineByTheClockOfTheFormerIncarnation);
    CPPUNIT_TEST_SUITE_END();

    const Time start_ { std::chrono::hours(1) };
    const Duration second_ { std::chrono::seconds(1) };
    static constexpr std::int64_t micros = 1'000'000;

    void lostWorkerHoldsNoPermitByTheClockOfItsFormerIncarnation()
    {
        WorkerLink link({}, start_, start_);
        link.onReport(3600 * micros, start_);
        // Restarted at start_ + 0.5 s; the next renewal reaches the new incarnation, whose answer is lost or says 0.5 s.
        const std::int64_t until = link.plan(start_ + second_).untilMicros_;
        link.onReport(micros / 2, start_ + second_);
        std::int64_t permit = until;
        permit = std::max(permit, link.plan(start_ + 2 * second_).untilMicros_);
        Time now = start_ + 2 * second_;
        while (!link.isLost(now))
            now += second_;
        const std::int64_t clock = std::chrono::duration_cast<Duration>(now - start_ - second_ / 2).count();
        CPPUNIT_ASSERT_MESSAGE("the permit runs " + std::to_string((permit - clock) / micros) + " s longer than the worker counts as up", clock >= permit);
    }

    void startDeadlineByTheClockOfTheFormerIncarnation()
    {
        WorkerLink link({}, start_, start_);
        link.onReport(3600 * micros, start_);
        // Restarted at start_ + 0.5 s. A start that may be carried out until start_ + 3 s is sent before the next report.
        const std::int64_t startBefore = *link.toWorkerClock(start_ + 3 * second_);
        const std::int64_t clockAtDeadline = 2 * micros + micros / 2;
        CPPUNIT_ASSERT_MESSAGE("accepted " + std::to_string((startBefore - clockAtDeadline) / micros) + " s after its deadline", startBefore <= clockAtDeadline);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(WorkerRestartTest, "incarnations");
