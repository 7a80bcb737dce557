#include "node/storeclock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t clockAhead = 7000;

/** An answer that the store composed at `composedAt`, with a clock that is ahead by `clockAhead` ms. */
StoreTimestamp answer(Time askedAt, Time answeredAt, Time composedAt)
{
    return { 1, wholeMilliseconds(composedAt.time_since_epoch()) + clockAhead, askedAt, answeredAt };
}

}

/** Bounds on the store's clock from answers of different latency. */
class StoreClockTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreClockTest);
    CPPUNIT_TEST(longPollsKeepTightBounds);
    CPPUNIT_TEST(slowAnswersTogetherTighten);
    CPPUNIT_TEST(boundsWidenWithoutAnswers);
    CPPUNIT_TEST(steppedClockReplacesBounds);
    CPPUNIT_TEST(versionsTellHowNewAViewIs);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Time start { 100s };

    /** Answers of long polls may have been composed at any time of the poll, so they must not widen a tight estimate. */
    void longPollsKeepTightBounds()
    {
        StoreClock clock;
        clock.observe(answer(start, start + 5ms, start + 4ms));
        Time now = start + 5ms;
        for (int i = 0; i < 10; ++i) {
            clock.observe(answer(now, now + 2000ms, now + 2000ms));
            now += 2000ms;
            const std::int64_t actual = wholeMilliseconds(now.time_since_epoch()) + clockAhead;
            CPPUNIT_ASSERT(clock.latestMs(now) >= actual);
            CPPUNIT_ASSERT(clock.latestMs(now) <= actual + 410);
            CPPUNIT_ASSERT(clock.earliestMs(now) <= actual);
            CPPUNIT_ASSERT(clock.earliestMs(now) >= actual - 50);
        }
    }

    /** An answer composed early and one composed late bound the clock from both sides. */
    void slowAnswersTogetherTighten()
    {
        StoreClock clock;
        clock.observe(answer(start, start + 1000ms, start));
        clock.observe(answer(start, start + 1000ms, start + 1000ms));
        const Time now = start + 1000ms;
        CPPUNIT_ASSERT(clock.latestMs(now) - clock.earliestMs(now) <= 3);
    }

    void boundsWidenWithoutAnswers()
    {
        StoreClock clock;
        clock.observe(answer(start, start + 2ms, start + 1ms));
        const Time later = start + 10s;
        const std::int64_t actual = wholeMilliseconds(later.time_since_epoch()) + clockAhead;
        CPPUNIT_ASSERT(clock.latestMs(later) >= actual + 190);
        CPPUNIT_ASSERT(clock.earliestMs(later) <= actual - 190);
    }

    void steppedClockReplacesBounds()
    {
        StoreClock clock;
        clock.observe(answer(start, start + 2ms, start + 1ms));
        StoreTimestamp stepped = answer(start + 1s, start + 1002ms, start + 1001ms);
        stepped.clockMs_ += 30000;
        clock.observe(stepped);
        CPPUNIT_ASSERT(clock.earliestMs(start + 1002ms) > wholeMilliseconds((start + 1s).time_since_epoch()) + clockAhead + 29000);
    }

    /** Guards against starts that are withheld for good where each page of a feed is full, as with thousands of workers. */
    void versionsTellHowNewAViewIs()
    {
        StoreClock clock;
        const Time first { 1000s };
        const Time second = first + 500ms;
        // An answer of an incomplete page has no version.
        clock.observe({ 0, 1, first, first + 4ms });
        CPPUNIT_ASSERT(!clock.asOf(9));
        clock.observe({ 10, 1, first, first + 4ms });
        clock.observe({ 20, 501, second, second + 4ms });
        clock.observe({ 0, 1001, second + 500ms, second + 504ms });
        CPPUNIT_ASSERT(!clock.asOf(9));
        CPPUNIT_ASSERT(clock.asOf(10) == first);
        CPPUNIT_ASSERT(clock.asOf(19) == first);
        CPPUNIT_ASSERT(clock.asOf(25) == second);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClockTest);
