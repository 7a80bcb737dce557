#include "calleraudit.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

using namespace fescuecleat;

namespace {

const CallerQueue first { "first", "queues.example", "/first/", "service", 0, "key-1", "north" };
const CallerQueue second { "second", "queues.example", "/second/", "service", 1, "key-2", "south" };

/** A time of the made-up history, in milliseconds since its start. */
Time at(int ms)
{
    return Time(std::chrono::hours(1)) + std::chrono::milliseconds(ms);
}

}

/** Each promise to callers, broken once by a made-up history, is found; kept promises are not reported. */
class CallerAuditTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallerAuditTest);
    CPPUNIT_TEST(cleanHistory);
    CPPUNIT_TEST(malformedAnswerIsMixed);
    CPPUNIT_TEST(unknownStatusIsMixed);
    CPPUNIT_TEST(otherStateAfterCompletionIsMixed);
    CPPUNIT_TEST(cancelledByNobodyIsMixed);
    CPPUNIT_TEST(unknownAfterAcceptanceIsLost);
    CPPUNIT_TEST(unknownAfterCompletionIsLost);
    CPPUNIT_TEST(failedIsLost);
    CPPUNIT_TEST(withdrawnKeyIsRefused);
    CPPUNIT_TEST(withdrawnKeyStaysRefused);
    CPPUNIT_TEST(publicQueueNeedsNoKey);
    CPPUNIT_TEST(confirmedQueueIsKnown);
    CPPUNIT_TEST(removedQueueMayBeUnknown);
    CPPUNIT_TEST(movedQueueHasItsTime);
    CPPUNIT_TEST(refusedJobs);
    CPPUNIT_TEST(jobsThatMayHaveBeenAccepted);
    CPPUNIT_TEST(openJobs);
    CPPUNIT_TEST_SUITE_END();

    /** Passes an answer to the audit and to the job, as the callers do. */
    void answer(CallerCallKind kind, int sentMs, int endedMs, CallerAnswer::Content content)
    {
        const CallerAnswer answer { kind, queue_, at(sentMs), at(endedMs), std::move(content) };
        audit_.check(job_, answer);
        job_.record(answer);
    }
    void submit(int ms, CallerAnswer::Content content) { answer(CallerCallKind::Submit, ms, ms + 5, std::move(content)); }
    void show(int ms, PoolJobState state) { answer(CallerCallKind::State, ms, ms + 5, StateAnswer { state }); }
    void ask(int ms, int status) { answer(CallerCallKind::State, ms, ms + 5, PlainAnswer { status }); }

    void assertClean()
    {
        for (const std::string& violation : audit_.violations())
            CPPUNIT_FAIL(violation);
    }

    /** Exactly one violation was found, and its text names the promise. */
    void assertBroken(const std::string& promise)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), audit_.violations().size());
        const std::string& violation = audit_.violations().front();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violation, promise + " ", violation.substr(0, promise.size() + 1));
    }

    void cleanHistory()
    {
        audit_.configurationConfirmed({ first, second }, at(0));
        ask(2900, 404);
        submit(3100, PlainAnswer { 503 });
        submit(3600, CallUnanswered {});
        submit(5200, PlainAnswer { 504 });
        submit(6800, CallNotSent {});
        submit(7000, PlainAnswer { 200 });
        ask(9900, 410); // less than 3 s after the acceptance
        show(10500, PoolJobState::Queued);
        show(11000, PoolJobState::Running);
        // A preempted job waits again.
        show(11500, PoolJobState::Queued);
        ask(12000, 503);
        answer(CallerCallKind::State, 12500, 14000, CallUnanswered {});
        show(14500, PoolJobState::Completed);
        // Sent before the completion was known, and answered later.
        answer(CallerCallKind::State, 14400, 14600, StateAnswer { PoolJobState::Running });
        submit(15000, PlainAnswer { 200 });
        show(15500, PoolJobState::Completed);
        audit_.keyWithdrawn("key-1", at(20000));
        show(25000, PoolJobState::Completed);
        ask(25100, 401);
        audit_.keyRestored("key-1");
        show(26000, PoolJobState::Completed);
        assertClean();

        job_ = CallerJob("00000000000000b2", first, at(30000));
        submit(30000, PlainAnswer { 200 });
        job_.recordCancelSent();
        answer(CallerCallKind::Cancel, 30100, 30105, PlainAnswer { 200 });
        show(30500, PoolJobState::Cancelled);
        ask(90000, 410);
        assertClean();
    }

    void malformedAnswerIsMixed()
    {
        submit(0, MalformedAnswer { 200, "not an empty object" });
        assertBroken("MIXED");
    }

    void unknownStatusIsMixed()
    {
        submit(0, PlainAnswer { 410 });
        assertBroken("MIXED");
    }

    void otherStateAfterCompletionIsMixed()
    {
        submit(0, PlainAnswer { 200 });
        show(500, PoolJobState::Completed);
        show(1000, PoolJobState::Running);
        assertBroken("MIXED");
    }

    void cancelledByNobodyIsMixed()
    {
        submit(0, PlainAnswer { 200 });
        show(500, PoolJobState::Cancelled);
        assertBroken("MIXED");
    }

    void unknownAfterAcceptanceIsLost()
    {
        submit(0, PlainAnswer { 200 });
        ask(3001, 410);
        assertBroken("LOST");
    }

    void unknownAfterCompletionIsLost()
    {
        submit(0, PlainAnswer { 200 });
        show(3500, PoolJobState::Completed);
        ask(4000, 410);
        assertBroken("LOST");
    }

    void failedIsLost()
    {
        submit(0, PlainAnswer { 200 });
        show(500, PoolJobState::Failed);
        assertBroken("LOST");
    }

    void withdrawnKeyIsRefused()
    {
        audit_.keyWithdrawn("key-1", at(1000));
        submit(5990, PlainAnswer { 200 });
        assertClean();
        submit(6010, PlainAnswer { 200 });
        assertBroken("KEY");
    }

    void withdrawnKeyStaysRefused()
    {
        audit_.keyWithdrawn("key-1", at(1000));
        ask(6100, 401);
        audit_.keyWithdrawn("key-1", at(50000));
        show(50100, PoolJobState::Queued);
        assertBroken("KEY");
        CPPUNIT_ASSERT(audit_.withdrawnKeys() == std::vector<std::string> { "key-1" });
        audit_.keyRestored("key-1");
        show(50200, PoolJobState::Queued);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), audit_.violations().size());
        CPPUNIT_ASSERT(audit_.withdrawnKeys().empty());
    }

    void publicQueueNeedsNoKey()
    {
        queue_.isPublic_ = true;
        audit_.keyWithdrawn("key-1", at(1000));
        submit(6100, PlainAnswer { 200 });
        assertClean();
    }

    void confirmedQueueIsKnown()
    {
        audit_.configurationConfirmed({ first }, at(0));
        // Confirmed again, which doesn't extend the time.
        audit_.configurationConfirmed({ first, second }, at(2000));
        submit(3010, PlainAnswer { 404 });
        assertBroken("CONFIG");
    }

    void removedQueueMayBeUnknown()
    {
        audit_.configurationConfirmed({ first, second }, at(0));
        audit_.queueLeaves("first");
        ask(10000, 404);
        audit_.configurationConfirmed({ second }, at(10100));
        ask(20000, 404);
        audit_.configurationConfirmed({ first, second }, at(30000));
        ask(32900, 404);
        assertClean();
        ask(33100, 404);
        assertBroken("CONFIG");
    }

    void movedQueueHasItsTime()
    {
        audit_.configurationConfirmed({ first }, at(0));
        CallerQueue moved = first;
        moved.prefix_ = "/moved/";
        audit_.configurationConfirmed({ moved }, at(10000));
        ask(20000, 404); // at the former address
        queue_ = moved;
        ask(12900, 404);
        assertClean();
        ask(13100, 404);
        assertBroken("CONFIG");
    }

    void refusedJobs()
    {
        CPPUNIT_ASSERT(!job_.isRefused());
        submit(0, CallNotSent {});
        CPPUNIT_ASSERT(!job_.isRefused());
        for (const int status : { 429, 503, 404, 401 }) {
            submit(100, PlainAnswer { status });
            CPPUNIT_ASSERT(job_.isRefused());
        }
    }

    void jobsThatMayHaveBeenAccepted()
    {
        const std::vector<CallerAnswer::Content> outcomes { CallUnanswered {}, PlainAnswer { 504 }, PlainAnswer { 502 }, PlainAnswer { 200 }, PlainAnswer { 500 }, MalformedAnswer { 200, "" } };
        for (const CallerAnswer::Content& outcome : outcomes) {
            job_ = CallerJob("00000000000000a1", first, at(0));
            submit(0, PlainAnswer { 503 });
            submit(600, outcome);
            submit(1200, PlainAnswer { 503 });
            CPPUNIT_ASSERT(!job_.isRefused());
        }
    }

    void openJobs()
    {
        submit(0, CallUnanswered {});
        CPPUNIT_ASSERT(!job_.isOpen());
        submit(1600, PlainAnswer { 200 });
        CPPUNIT_ASSERT(job_.isOpen());
        show(2100, PoolJobState::Running);
        ask(2600, 503);
        CPPUNIT_ASSERT(job_.isOpen());
        show(3100, PoolJobState::Completed);
        show(3600, PoolJobState::Completed);
        CPPUNIT_ASSERT(!job_.isOpen());
        CPPUNIT_ASSERT(job_.completionTime() == Duration(std::chrono::milliseconds(3105)));
        assertClean();
    }

    CallerAudit audit_ { {} };
    CallerQueue queue_ = first;
    CallerJob job_ { "00000000000000a1", first, at(0) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerAuditTest);
