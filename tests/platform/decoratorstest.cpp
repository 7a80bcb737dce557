#include "platform/breakertable.h"
#include "platform/budgetedtable.h"
#include "platform/groupcommittable.h"
#include "support/faketable.h"
#include "support/property.h"

#include <atomic>
#include <thread>

using namespace fescuecleat;

namespace {

const Time noDeadline = Time::max();

Time after(Duration duration)
{
    return monotonicNow() + duration;
}

}

/** The decorators of a table: group commit, write budget and circuit breaker. */
class DecoratorsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecoratorsTest);
    CPPUNIT_TEST(groupsReportEachOutcome);
    CPPUNIT_TEST(repeatedWritesResolveAnUnknownGroup);
    CPPUNIT_TEST(budgetKeepsRateAndPriorities);
    CPPUNIT_TEST(refusesWritesThatMissTheirDeadline);
    CPPUNIT_TEST(breakerProbesAndCloses);
    CPPUNIT_TEST_SUITE_END();

    /** Threads append to own and shared rows. The commits reported as successful must equal the data written. */
    void groupsReportEachOutcome()
    {
        constexpr int threadCount = 12;
        constexpr int rounds = 40;
        FakeTable table;
        table.setDelay(std::chrono::microseconds(200));
        WriteIds writeIds("test");
        GroupCommitTable grouped(table, writeIds, { 64, 1 });
        std::atomic<int> committed { 0 };
        std::atomic<int> conflicts { 0 };
        std::vector<std::thread> threads;
        threads.reserve(threadCount);
        for (int thread = 0; thread < threadCount; ++thread) {
            threads.emplace_back([&, thread] {
                const std::string own = "own/" + std::to_string(thread);
                for (int round = 0; round < rounds; ++round) {
                    const std::string key = round % 4 == 0 ? "shared" : own;
                    const Row row = *grouped.read(key, noDeadline);
                    const auto outcome = grouped.commit({ writeIds.next(), { { key, row.version_ }, { "fence", 0 } }, { { key, row.value_ + "x" } } }, noDeadline);
                    std::holds_alternative<Committed>(*outcome) ? ++committed : ++conflicts;
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        std::size_t written = 0;
        for (const auto& [key, row] : table.rows())
            written += row.value_.size();
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(committed), written);
        CPPUNIT_ASSERT_EQUAL(threadCount * rounds, committed + conflicts);
        CPPUNIT_ASSERT(conflicts > 0 && grouped.counts().commits_ < grouped.counts().transactions_);
    }

    void repeatedWritesResolveAnUnknownGroup()
    {
        FakeTable table;
        table.setDelay(std::chrono::milliseconds(20));
        WriteIds writeIds("test");
        GroupCommitTable grouped(table, writeIds, { 64, 1 });
        const auto create = [&](const std::string& key) { return grouped.commit({ "id-" + key, { { key, 0 } }, { { key, "x" } } }, noDeadline); };
        std::thread busy([&] { create("first"); });
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        table.loseAnswers(2);
        std::atomic<int> unknown { 0 };
        std::vector<std::thread> threads;
        for (const char* key : { "a", "b", "c" })
            threads.emplace_back([&, key] { unknown += create(key) ? 0 : 1; });
        for (std::thread& thread : threads)
            thread.join();
        busy.join();
        CPPUNIT_ASSERT(unknown >= 1);
        for (const char* key : { "a", "b", "c" })
            CPPUNIT_ASSERT(std::holds_alternative<Committed>(*create(key)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, table.rows().size());
    }

    void budgetKeepsRateAndPriorities()
    {
        CHECK_PROPERTY("reserves of higher priorities and the sustained rate hold", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& requests) {
            const WriteBudgetLimits limits { 100, 40 };
            Time now(std::chrono::seconds(1));
            WriteBudget budget(limits, now);
            double taken = 0;
            for (const auto& [rows, pause] : requests) {
                now += std::chrono::milliseconds(pause);
                const auto priority = static_cast<WritePriority>(1 + rows % 2);
                const std::size_t requestedRows = 1 + rows % 16;
                const bool isTaken = budget.tryTake(requestedRows, priority, now);
                if (!isTaken) {
                    const Time availableAt = budget.nextAvailable(requestedRows, priority, now);
                    WriteBudget later = budget;
                    RC_ASSERT(availableAt > now && later.tryTake(requestedRows, priority, availableAt));
                    continue;
                }
                taken += static_cast<double>(requestedRows);
                RC_ASSERT(budget.tokens() >= (priority == WritePriority::Background ? 19.999 : 3.999));
            }
            const double seconds = std::chrono::duration<double>(now - Time(std::chrono::seconds(1))).count();
            RC_ASSERT(taken <= limits.burst_ + limits.rowsPerSecond_ * seconds + 0.001);
        });
        CPPUNIT_ASSERT(priorityOf({ "", {}, { { "ended/c/j", std::nullopt }, { "jobkey/o/k", std::nullopt } } }) == WritePriority::Background);
        CPPUNIT_ASSERT(priorityOf({ "", {}, { { "ended/c/j", "{}" }, { "job/c/j", std::nullopt } } }) == WritePriority::Record);
        CPPUNIT_ASSERT(priorityOf({ "", {}, { { "claim/o/k", "{}" }, { "datacentre/c/heartbeat", "{}" } } }) == WritePriority::Control);
    }

    void refusesWritesThatMissTheirDeadline()
    {
        FakeTable table;
        BudgetedTable budgeted(table, { 1, 4 });
        const auto write = [&](const std::string& key) { return budgeted.commit({ key, {}, { { key, "x" } } }, after(std::chrono::milliseconds(50))); };
        while (write("job/c/" + std::to_string(table.commits())))
            CPPUNIT_ASSERT(table.commits() < 6);
        CPPUNIT_ASSERT(write("job/c/more").error().kind_ == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(write("datacentre/c/heartbeat"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, table.rows().count("job/c/more"));
    }

    void breakerProbesAndCloses()
    {
        FakeTable table;
        BreakerTable guarded(table, { 3, std::chrono::hours(1), std::chrono::hours(1) });
        table.setDown(true);
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(!guarded.read("row", noDeadline));
        table.setDown(false);
        CPPUNIT_ASSERT(guarded.isOpen() && guarded.read("row", noDeadline).error().kind_ == ErrorKind::Unavailable);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, guarded.refused());

        const Time start(std::chrono::seconds(1));
        const Duration pause = std::chrono::milliseconds(20);
        CircuitBreaker breaker({ 1, pause, 2 * pause });
        breaker.failed(start);
        CPPUNIT_ASSERT(!breaker.allows(start) && breaker.allows(start + pause) && !breaker.allows(start + pause));
        breaker.failed(start + pause);
        CPPUNIT_ASSERT(!breaker.allows(start + 2 * pause) && breaker.allows(start + 3 * pause));
        breaker.succeeded();
        CPPUNIT_ASSERT(breaker.allows(start + 3 * pause) && !breaker.isOpen());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecoratorsTest);
