#include "base/bootclock.h"
#include "node/backlogpublisher.h"
#include "node/backlogview.h"
#include "node/jobapi.h"
#include "node/poolfixture.h"
#include "node/storelayout.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

/** Urgent jobs of 2 s: target 3.25 s, expiry 9.75 s. A worker's eighth of a pool of 8 accelerators. */
struct Submission {
    Submission()
    {
        StepSpec step = oneTask();
        step.estimate_ = 2s;
        spec_.steps_.push_back(step);
        policy_.queue_ = "urgent";
        policy_.organisation_ = "org";
        policy_.stretch_ = 1.5;
        policy_.latencyTarget_ = 250ms;
    }

    std::optional<AdmissionRefusal> refusal(const Backlog& backlog, Duration age = 0ms) const
    {
        return refuseHopeless({ id_, &spec_, &policy_, guaranteed_ }, backlog, age);
    }

    std::string id_ = jobId;
    PoolJobSpec spec_;
    JobPolicy policy_;
    std::int64_t guaranteed_ = 0;
};

/** A backlog of urgent work that starts before a new submission and whose credit lasts nearly as long as that of a new one. */
Backlog backlogOf(double poolSeconds, int priority = 0, BacklogPlace place = BacklogPlace::InTime)
{
    Backlog backlog;
    backlog.pool_ = { 64000, 256000, 8 };
    backlog.urgentAccelerators_["org"] = 64;
    backlog.waiting_["urgent"]["org"].push_back({ priority, place, 1000, 9500, poolSeconds });
    return backlog;
}

/** A backlog of higher priority, which no expiry shortens. */
Backlog higherBacklogOf(double poolSeconds)
{
    return backlogOf(poolSeconds, -1);
}

/** A job API whose refusals come from a followed backlog. */
class AdmittingApi {
public:
    AdmittingApi()
    {
        pool_.settings_.refusesHopelessJobs_ = true;
        view_.start();
        auto configuration = std::make_shared<PoolConfiguration>();
        configuration->version_ = 1;
        QueueConfiguration queue;
        queue.name_ = "queue";
        queue.host_ = "host";
        queue.prefix_ = "/q/";
        queue.isPublic_ = true;
        queue.priority_ = 1;
        configuration->queues_.push_back(queue);
        configuration_ = configuration;
        CPPUNIT_ASSERT(pool_.runUntil([this] { return pool_.clock_.isKnown(); }));
    }

    /** Publishes so many pool-seconds of urgent work, `age` ago by the store's clock. */
    void publish(double poolSeconds, Duration age)
    {
        const std::int64_t atMs = pool_.clock_.earliestMs(bootTimeNow()) - wholeMilliseconds(age);
        pool_.store_.put(summaryTable, backlogKey, encodeBacklog({ backlogOf(poolSeconds), atMs }, 4096), schedulerPart);
        pool_.runFor(50ms);
    }

    ServerResponse submit(const std::string& id)
    {
        ServerRequest request;
        request.method_ = "POST";
        request.path_ = "/q/" + id;
        request.host_ = "host";
        request.body_ = "{}";
        std::optional<ServerResponse> response;
        api_.handle(request, [&response](ServerResponse answer) { response = std::move(answer); });
        CPPUNIT_ASSERT(pool_.runUntil([&response] { return response.has_value(); }));
        return *response;
    }

    bool isStored(const std::string& id) const { return pool_.store_.value(intakeTable, id).has_value(); }

    PoolFixture pool_;

private:
    std::shared_ptr<const PoolConfiguration> configuration_;
    BacklogView view_ { pool_.context_ };
    JobApi api_ { pool_.context_, { [this] { return configuration_; }, [] { return true; }, [] { return nullptr; }, [](const StoredRow&) {}, [this](const AdmissionRequest& request) { return view_.refusal(request, bootTimeNow()); } } };
};

constexpr const char* otherJob = "00000000000000bb";

}

/** Which submissions are refused because they would end after their credit; see docs/design/overload.md. */
class AdmissionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(hopelessJobIsRefused);
    CPPUNIT_TEST(jobThatMayBeServedIsAccepted);
    CPPUNIT_TEST(workThatComesLaterIsNotAhead);
    CPPUNIT_TEST(guaranteedJobIsAccepted);
    CPPUNIT_TEST(jobsWithoutTargetAreAccepted);
    CPPUNIT_TEST(retryTimesAreSpread);
    CPPUNIT_TEST(rowKeepsLowerBound);
    CPPUNIT_TEST(refusedSubmissionIsNotStored);
    CPPUNIT_TEST(staleBacklogRefusesNobody);
    CPPUNIT_TEST(acceptedJobIsNeverRefused);
    CPPUNIT_TEST(holderPublishesItsBacklog);
    CPPUNIT_TEST(settingsAreCheckedBooleans);
    CPPUNIT_TEST_SUITE_END();

    /** Load: 40 pool-seconds of higher priority. Guards against work that is accepted only to expire. */
    void hopelessJobIsRefused()
    {
        const auto refusal = Submission().refusal(higherBacklogOf(40));
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT(refusal->endsInSeconds_ > refusal->expiresInSeconds_);
        CPPUNIT_ASSERT(refusal->retryAfterSeconds_ >= 1);
    }

    /** Guards against refusing on estimates that are too long by half, or a rate below the best one. */
    void jobThatMayBeServedIsAccepted()
    {
        CPPUNIT_ASSERT(!Submission().refusal({}));
        // By the estimates, 17 s of work leave no time; with half of it, the job ends in 9.5 s.
        CPPUNIT_ASSERT(!Submission().refusal(higherBacklogOf(17)));
        CPPUNIT_ASSERT(Submission().refusal(higherBacklogOf(18)).has_value());
        Backlog fast = higherBacklogOf(18);
        fast.bestRate_ = 1.2;
        CPPUNIT_ASSERT(!Submission().refusal(fast));
        // What the pool may have done since the backlog was measured counts.
        CPPUNIT_ASSERT(!Submission().refusal(higherBacklogOf(18), 1s));
    }

    /** Guards against counting work that is placed after the job, or that expires before it. */
    void workThatComesLaterIsNotAhead()
    {
        CPPUNIT_ASSERT(!Submission().refusal(backlogOf(100, 1)));
        CPPUNIT_ASSERT(!Submission().refusal(backlogOf(100, 0, BacklogPlace::Behind)));
        Backlog later = backlogOf(100);
        later.waiting_["urgent"]["org"].front().latestStartMs_ = 5000;
        CPPUNIT_ASSERT(!Submission().refusal(later));
        // Work whose postponement has ended is placed first until it expires.
        CPPUNIT_ASSERT(Submission().refusal(backlogOf(100, 0, BacklogPlace::First)).has_value());
        Backlog expiring = backlogOf(100, 0, BacklogPlace::First);
        expiring.waiting_["urgent"]["org"].front().expiryMs_ = 1200;
        CPPUNIT_ASSERT(!Submission().refusal(expiring));
    }

    /** Guards against refusing what a guarantee covers. */
    void guaranteedJobIsAccepted()
    {
        Submission submission;
        submission.guaranteed_ = 64;
        CPPUNIT_ASSERT(submission.refusal(higherBacklogOf(40)).has_value());
        submission.guaranteed_ = 65;
        CPPUNIT_ASSERT(!submission.refusal(higherBacklogOf(40)));
    }

    void jobsWithoutTargetAreAccepted()
    {
        Submission timed;
        timed.spec_.occurrences_ = 3;
        CPPUNIT_ASSERT(!timed.refusal(higherBacklogOf(400)));
        Submission lasting;
        lasting.spec_.steps_.front().isLongRunning_ = true;
        CPPUNIT_ASSERT(!lasting.refusal(higherBacklogOf(400)));
    }

    /** Load: many callers refused at once. Guards against all of them returning together, and large jobs returning first. */
    void retryTimesAreSpread()
    {
        std::set<std::int64_t> times;
        Submission submission;
        for (int i = 0; i < 40; ++i) {
            submission.id_ = std::string(14, '0') + std::to_string(10 + i);
            times.insert(submission.refusal(higherBacklogOf(40))->retryAfterSeconds_);
        }
        CPPUNIT_ASSERT(times.size() >= 8);
        Submission large = submission;
        large.spec_.steps_.front().taskCount_ = 64;
        CPPUNIT_ASSERT(large.refusal(higherBacklogOf(40))->retryAfterSeconds_ > submission.refusal(higherBacklogOf(40))->retryAfterSeconds_);
    }

    /** Guards against a row that outgrows its limit, or that claims more work than there is. */
    void rowKeepsLowerBound()
    {
        Backlog backlog = higherBacklogOf(40);
        for (int i = 0; i < 500; ++i)
            backlog.waiting_["queue"]["org" + std::to_string(i)].push_back({ 1, BacklogPlace::InTime, 1000, 9000, 0.01 });
        const std::string text = encodeBacklog({ backlog, 77 }, 4096);
        CPPUNIT_ASSERT(text.size() <= 4096);
        const auto decoded = decodeBacklog(text);
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(77), decoded->atMs_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(40.0, decoded->backlog_.waitingWork(), 0.01);
        CPPUNIT_ASSERT(!decodeBacklog("{\"atMs\":\"x\"}"));
    }

    /** Guards against a refusal that isn't true, and a caller who is refused although the backlog has drained. */
    void refusedSubmissionIsNotStored()
    {
        AdmittingApi api;
        api.publish(500, 0ms);
        const ServerResponse response = api.submit(jobId);
        CPPUNIT_ASSERT_EQUAL(429, response.status_);
        CPPUNIT_ASSERT_EQUAL(std::string("Retry-After"), response.headers_.at(0).first);
        CPPUNIT_ASSERT(std::stoi(response.headers_.at(0).second) >= 1);
        CPPUNIT_ASSERT(!api.isStored(jobId));
        api.publish(1, 0ms);
        CPPUNIT_ASSERT_EQUAL(200, api.submit(jobId).status_);
        CPPUNIT_ASSERT(api.isStored(jobId));
    }

    /** Guards against refusals after the holder is gone. */
    void staleBacklogRefusesNobody()
    {
        AdmittingApi api;
        api.publish(500, 2001ms);
        CPPUNIT_ASSERT_EQUAL(200, api.submit(jobId).status_);
        api.publish(500, 1500ms);
        CPPUNIT_ASSERT_EQUAL(429, api.submit(otherJob).status_);
        api.pool_.runFor(700ms);
        CPPUNIT_ASSERT_EQUAL(200, api.submit(otherJob).status_);
    }

    /** Guards against a caller who repeats an accepted submission being told that it was not stored. */
    void acceptedJobIsNeverRefused()
    {
        AdmittingApi api;
        CPPUNIT_ASSERT_EQUAL(200, api.submit(jobId).status_);
        api.publish(500, 0ms);
        CPPUNIT_ASSERT_EQUAL(200, api.submit(jobId).status_);
        CPPUNIT_ASSERT_EQUAL(429, api.submit(otherJob).status_);
    }

    /** Guards against a backlog that no instance learns of, and a summary of waiting jobs that it hides. */
    void holderPublishesItsBacklog()
    {
        PoolFixture pool;
        pool.settings_.refusesHopelessJobs_ = true;
        pool.addWorker("w1");
        const auto scheduler = pool.scheduler("a");
        StepSpec step = oneTask();
        step.taskCount_ = 80;
        pool.submit(jobId, step);
        CPPUNIT_ASSERT(pool.runUntil([&pool] { return pool.store_.value(summaryTable, backlogKey).has_value(); }));
        const auto published = decodeBacklog(*pool.store_.value(summaryTable, backlogKey));
        CPPUNIT_ASSERT(published.has_value());
        CPPUNIT_ASSERT(published->backlog_.waitingWork() >= 40);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), published->backlog_.waiting_.count("queue"));
        CPPUNIT_ASSERT(pool.clock_.latestMs(bootTimeNow()) - published->atMs_ < 2000);
    }

    /** Guards against decisions that differ without the settings, and against a misspelt value that enables them. */
    void settingsAreCheckedBooleans()
    {
        const auto parse = [](const std::string& members) {
            return parseInstanceSettings(R"({"instance": "i", "dataCentre": "d", "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "peers": "127.0.0.1:3", "store": "127.0.0.1:4", "maxWorkerLeaseSeconds": 6, "revocationLimitSeconds": 5, "stopLimitSeconds": 9)" + members + "}");
        };
        const auto former = parse("");
        CPPUNIT_ASSERT(former && !former->usesOverloadOrder_ && !former->refusesHopelessJobs_);
        const auto enabled = parse(R"(, "overloadOrder": true, "admission": true)");
        CPPUNIT_ASSERT(enabled && enabled->usesOverloadOrder_ && enabled->refusesHopelessJobs_);
        CPPUNIT_ASSERT(!parse(R"(, "overloadOrder": 1)"));
        CPPUNIT_ASSERT(!parse(R"(, "admission": "true")"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);
