#include "control/leaseservice.h"

#include "control/clockdrift.h"
#include "control/datacentrecontrol.h"
#include "control/workerclock.h"
#include "support/faketable.h"
#include "support/property.h"

#include <thread>

using namespace fescuecleat;

namespace {

const DataCentreId catania("catania");
const Time noDeadline = Time::max();
const ControlTiming quickTiming { std::chrono::milliseconds(120), std::chrono::milliseconds(30), std::chrono::milliseconds(10), std::chrono::milliseconds(100) };

}

/** The lease and the permit run against a table with faults. */
class LeaseServiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeaseServiceTest);
    CPPUNIT_TEST(oneHoldsAndHandsOver);
    CPPUNIT_TEST(findsItsClaimAfterALostAnswer);
    CPPUNIT_TEST(stopsWhenTheTableIsDown);
    CPPUNIT_TEST(takesOutADataCentre);
    CPPUNIT_TEST(showsTheWinnerOfARace);
    CPPUNIT_TEST(carriesDeadlinesToWorkers);
    CPPUNIT_TEST_SUITE_END();

    FakeTable table_;
    WriteIds writeIds_ { "test" };
    LeaseService first_ { table_, writeIds_, InstanceId("first"), catania, quickTiming };
    LeaseService second_ { table_, writeIds_, InstanceId("second"), catania, quickTiming };

    static bool holds(const LeaseService& service) { return service.status(monotonicNow()).isHeld_; }

    /** Steps one service until it holds the lease or does not, at most for a few seconds. */
    static bool stepUntil(LeaseService& service, bool isHeld)
    {
        const Time end = monotonicNow() + std::chrono::seconds(5);
        while (holds(service) != isHeld) {
            const Time due = service.step();
            if (monotonicNow() > end)
                return false;
            std::this_thread::sleep_for(remaining(due, monotonicNow()));
        }
        return true;
    }

    void oneHoldsAndHandsOver()
    {
        CPPUNIT_ASSERT(stepUntil(first_, true));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, first_.status(monotonicNow()).fence_.epoch_);
        CPPUNIT_ASSERT(stepUntil(second_, true));
        CPPUNIT_ASSERT(!holds(first_));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, second_.status(monotonicNow()).fence_.epoch_);
        CPPUNIT_ASSERT(second_.handOver(noDeadline));
        CPPUNIT_ASSERT(!holds(second_) && !second_.beginStart(monotonicNow()));
        CPPUNIT_ASSERT(stepUntil(first_, true));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, first_.status(monotonicNow()).fence_.epoch_);
    }

    void findsItsClaimAfterALostAnswer()
    {
        first_.step();
        table_.loseAnswers(1);
        CPPUNIT_ASSERT(stepUntil(first_, true));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, first_.status(monotonicNow()).fence_.epoch_);
    }

    void stopsWhenTheTableIsDown()
    {
        CPPUNIT_ASSERT(stepUntil(first_, true));
        CPPUNIT_ASSERT(first_.beginStart(monotonicNow()));
        table_.setDown(true);
        CPPUNIT_ASSERT(stepUntil(first_, false));
        CPPUNIT_ASSERT(!first_.beginStart(monotonicNow()));
        table_.setDown(false);
        CPPUNIT_ASSERT(stepUntil(first_, true));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, first_.status(monotonicNow()).fence_.epoch_);
    }

    /** With a start in flight the acknowledgement waits for its end; the lapse of the permit needs nobody. */
    void takesOutADataCentre()
    {
        DataCentreControl control(table_, writeIds_, quickTiming);
        CPPUNIT_ASSERT(stepUntil(first_, true));
        const Time startDeadline = *first_.beginStart(monotonicNow());
        ServiceWish wish;
        wish.dataCentre_ = catania;
        wish.isInService_ = false;
        table_.loseAnswers(1);
        CPPUNIT_ASSERT(control.change(wish, 1000, noDeadline).error().kind_ == ErrorKind::OutcomeUnknown);
        CPPUNIT_ASSERT(std::holds_alternative<ServiceChanged>(*control.change(wish, 1000, noDeadline)));
        ServiceStatus status = *control.status(catania, noDeadline);
        while (status.progress_ != ServiceProgress::Done) {
            first_.step();
            status = *control.status(catania, noDeadline);
            CPPUNIT_ASSERT(status.progress_ != ServiceProgress::Done || monotonicNow() >= startDeadline);
        }
        CPPUNIT_ASSERT(!first_.beginStart(monotonicNow()));
        first_.endStart();
        wish.isInService_ = true;
        CPPUNIT_ASSERT(control.change(wish, 1000, noDeadline));
        while (!first_.beginStart(monotonicNow()))
            first_.step();
    }

    void showsTheWinnerOfARace()
    {
        DataCentreControl control(table_, writeIds_, quickTiming);
        ServiceWish wish { catania, false, "anna", "power work", std::chrono::minutes(5), 0 };
        CPPUNIT_ASSERT(std::holds_alternative<ServiceChanged>(*control.change(wish, 1000, noDeadline)));
        wish.by_ = "bruno";
        wish.drain_ = std::chrono::minutes(1);
        const ServiceOutcome outcome = *control.change(wish, 1000, noDeadline);
        CPPUNIT_ASSERT_EQUAL(std::string("anna"), std::get<ServiceRaced>(outcome).winner_.by_);
    }

    /** Whatever the drift within its bound, a worker's start before the value is before our deadline. */
    void carriesDeadlinesToWorkers()
    {
        CHECK_PROPERTY("a start in time by the worker is in time for us", [](std::uint32_t clock, std::uint32_t left, std::uint32_t drift, std::uint16_t latency) {
            const Time received = Time(std::chrono::seconds(1000));
            const Time deadline = received + Duration(1 + left % 20'000'000);
            WorkerClock worker;
            worker.observed(clock, received);
            const auto before = worker.startBefore(deadline);
            if (!before)
                return;
            // The worker read its clock `latency` earlier and is as slow as the bound allows, or faster.
            const double rate = 1 - 1.0 / maxClockDriftDivisor + drift % 2000 / 1e6;
            const double reachedAfter = (static_cast<double>(*before) - clock) / rate - latency;
            RC_ASSERT(reachedAfter <= static_cast<double>((deadline - received).count()));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseServiceTest);
