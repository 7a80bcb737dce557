#include "worker/workerlink.h"
#include "control/clockdrift.h"
#include "support/property.h"

using namespace fescuecleat;

namespace {

const Time start { std::chrono::hours(1) };
constexpr Duration second = std::chrono::seconds(1);

RunPermitPolicy policy()
{
    return {};
}

/** A worker with a drifting clock, and its permit by that clock. */
struct DriftingWorker {
    double rate_ = 1;
    std::int64_t offset_ = 0;
    std::int64_t permitUntil_ = 0;

    std::int64_t clock(Time now) const { return offset_ + static_cast<std::int64_t>(static_cast<double>(now.time_since_epoch().count()) * rate_); }
    bool mayRun(Time now) const { return clock(now) < permitUntil_; }
    void renew(std::int64_t until) { permitUntil_ = std::max(permitUntil_, until); }
};

}

/** A worker that counts as lost can't run any task of its scheduler. */
class WorkerLinkTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkerLinkTest);
    CPPUNIT_TEST(asksForAReportBeforeItExtends);
    CPPUNIT_TEST(stopsExtendingASilentWorker);
    CPPUNIT_TEST(waitsForEarlierHolders);
    CPPUNIT_TEST(lostWorkersRunNoTasks);
    CPPUNIT_TEST_SUITE_END();

    void asksForAReportBeforeItExtends()
    {
        WorkerLink link(policy(), start, start);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, link.plan(start).untilMicros_);
        link.onReport(5'000'000, start);
        const std::int64_t until = link.plan(start + second).untilMicros_;
        CPPUNIT_ASSERT(until > 5'000'000 + 15'900'000 && until <= 5'000'000 + 16'000'000);
    }

    void stopsExtendingASilentWorker()
    {
        WorkerLink link(policy(), start, start);
        link.onReport(1, start);
        link.plan(start + second);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, link.plan(start + 4 * second).untilMicros_);
        CPPUNIT_ASSERT(!link.isLost(start + 16 * second));
        CPPUNIT_ASSERT(link.isLost(start + 16 * second + Duration(1)));
    }

    void waitsForEarlierHolders()
    {
        const Time earlierPermitsUntil = start + std::chrono::minutes(11);
        WorkerLink unreached(policy(), earlierPermitsUntil, start);
        CPPUNIT_ASSERT(!unreached.isLost(earlierPermitsUntil));
        CPPUNIT_ASSERT(unreached.isLost(earlierPermitsUntil + Duration(1)));
        WorkerLink reached(policy(), earlierPermitsUntil, start);
        reached.onReport(1, start);
        CPPUNIT_ASSERT(reached.isLost(start + 16 * second));
    }

    /** Renewals and answers are lost, delayed and duplicated, and the clock of the worker drifts within the bound. */
    void lostWorkersRunNoTasks()
    {
        CHECK_PROPERTY("a lost worker's permit has lapsed by its own clock", [] {
            DriftingWorker worker;
            worker.rate_ = 1 + *rc::gen::inRange(-1000, 1001) / 1'000'000.0;
            worker.offset_ = *rc::gen::inRange(0, 1'000'000'000);
            WorkerLink link(policy(), start, start);
            std::vector<std::int64_t> inFlight;
            Time now = start;
            for (int i = 0; i < 120; ++i) {
                now += Duration(*rc::gen::inRange(1'000, 2'500'000));
                if (now >= link.nextRenewal()) {
                    inFlight.push_back(link.plan(now).untilMicros_);
                    const bool isDelivered = *rc::gen::inRange(0, 3) != 0;
                    if (isDelivered) {
                        worker.renew(inFlight.back());
                        const std::int64_t clock = worker.clock(now);
                        now += Duration(*rc::gen::inRange(0, 900'000));
                        if (*rc::gen::inRange(0, 3) != 0)
                            link.onReport(clock, now);
                    }
                }
                // A renewal sent earlier arrives again.
                if (!inFlight.empty() && *rc::gen::inRange(0, 4) == 0)
                    worker.renew(inFlight[static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(inFlight.size())))]);
                if (link.isLost(now))
                    RC_ASSERT(!worker.mayRun(now));
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerLinkTest);
