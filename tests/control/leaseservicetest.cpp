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
const ControlTiming shortTiming { std::chrono::milliseconds(120), std::chrono::milliseconds(30), std::chrono::milliseconds(10), std::chrono::milliseconds(100) };

}

/** Lease and start permit on a table with faults. */
class LeaseServiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LeaseServiceTest);
    CPPUNIT_TEST(oneInstanceHoldsTheLease);
    CPPUNIT_TEST(findsOwnAcquisitionAfterLostAnswer);
    CPPUNIT_TEST(stopsStartsWhileTheTableIsDown);
    CPPUNIT_TEST(takesADataCentreOutOfService);
    CPPUNIT_TEST(reportsTheWinningChange);
    CPPUNIT_TEST(convertsDeadlinesToWorkerClocks);
    CPPUNIT_TEST_SUITE_END();

    FakeTable table_;
    WriteIds writeIds_ { "test" };
    LeaseService first_ { table_, writeIds_, InstanceId("first"), catania, shortTiming };
    LeaseService second_ { table_, writeIds_, InstanceId("second"), catania, shortTiming };

    static bool holds(const LeaseService& service) { return service.status(monotonicNow()).isHeld_; }

    /** Steps the service until it holds the lease, or no longer holds it. Returns false after 5 s. */
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

    void oneInstanceHoldsTheLease()
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

    void findsOwnAcquisitionAfterLostAnswer()
    {
        first_.step();
        table_.loseAnswers(1);
        CPPUNIT_ASSERT(stepUntil(first_, true));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, first_.status(monotonicNow()).fence_.epoch_);
    }

    void stopsStartsWhileTheTableIsDown()
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

    /** While a start is in flight the scheduler must not acknowledge; the change is done when the start permit expires. */
    void takesADataCentreOutOfService()
    {
        DataCentreControl control(table_, writeIds_, shortTiming);
        CPPUNIT_ASSERT(stepUntil(first_, true));
        const Time startDeadline = *first_.beginStart(monotonicNow());
        ServiceChange change;
        change.dataCentre_ = catania;
        change.isInService_ = false;
        table_.loseAnswers(1);
        CPPUNIT_ASSERT(control.change(change, 1000, noDeadline).error().kind_ == ErrorKind::OutcomeUnknown);
        CPPUNIT_ASSERT(std::holds_alternative<ServiceWritten>(*control.change(change, 1000, noDeadline)));
        ServiceStatus status = *control.status(catania, noDeadline);
        while (status.progress_ != ServiceProgress::Done) {
            first_.step();
            status = *control.status(catania, noDeadline);
            CPPUNIT_ASSERT(status.progress_ != ServiceProgress::Done || monotonicNow() >= startDeadline);
        }
        CPPUNIT_ASSERT(!first_.beginStart(monotonicNow()));
        first_.endStart();
        change.isInService_ = true;
        CPPUNIT_ASSERT(control.change(change, 1000, noDeadline));
        while (!first_.beginStart(monotonicNow()))
            first_.step();
    }

    void reportsTheWinningChange()
    {
        DataCentreControl control(table_, writeIds_, shortTiming);
        ServiceChange change { catania, false, "anna", "power work", std::chrono::minutes(5), 0 };
        CPPUNIT_ASSERT(std::holds_alternative<ServiceWritten>(*control.change(change, 1000, noDeadline)));
        change.by_ = "bruno";
        change.drain_ = std::chrono::minutes(1);
        const ServiceOutcome outcome = *control.change(change, 1000, noDeadline);
        CPPUNIT_ASSERT_EQUAL(std::string("anna"), std::get<ServiceConflict>(outcome).current_.by_);
    }

    /** With any drift within the bound, a start before startBefore() by the worker's clock is before the local deadline. */
    void convertsDeadlinesToWorkerClocks()
    {
        CHECK_PROPERTY("a start in time by the worker's clock is in time by the local clock", [](std::uint32_t clockMicros, std::uint32_t remainingMicros, std::uint32_t drift, std::uint16_t latency) {
            const Time received = Time(std::chrono::seconds(1000));
            const Time deadline = received + Duration(1 + remainingMicros % 20'000'000);
            WorkerClock worker;
            worker.observed(clockMicros, received);
            const auto startBefore = worker.startBefore(deadline);
            if (!startBefore)
                return;
            // The worker read its clock `latency` earlier. Its rate varies from the slowest that the bound allows to slightly above 1.
            const double rate = 1 - 1.0 / clockDriftDivisor + drift % 2000 / 1e6;
            const double reachedAfter = (static_cast<double>(*startBefore) - clockMicros) / rate - latency;
            RC_ASSERT(reachedAfter <= static_cast<double>((deadline - received).count()));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseServiceTest);
