#include "support/deployment.h"
#include "support/gangaudit.h"

#include <algorithm>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace fescuecleat;
using namespace fescuecleat::test;

namespace {

constexpr Duration second = std::chrono::seconds(1);
constexpr int gangTasks = 4;

std::string gang(int runTimeMs, const std::string& idempotencyKey = {})
{
    std::string body = "{\"tasks\": 4, \"accelerators\": 2, \"processor_millis\": 1000, \"memory_bytes\": 1000000, \"run_time_ms\": " + std::to_string(runTimeMs);
    if (!idempotencyKey.empty())
        body += R"(, "idempotent": false, "idempotency_key": ")" + idempotencyKey + "\"";
    return body + "}";
}

/** True if a minion has started a request whose idempotency key has this prefix. */
bool hasStarted(Deployment& deployment, const std::string& keyPrefix)
{
    const std::vector<LogEntry> log = deployment.minionLog(0);
    return std::any_of(log.begin(), log.end(), [&](const LogEntry& entry) {
        return entry.event_ == "started" && entry.fields_.at("key").compare(0, keyPrefix.size(), keyPrefix) == 0;
    });
}

void assertNoViolations(Deployment& deployment)
{
    const std::vector<std::string> violations = gangViolations(deployment.workerLog(0));
    CPPUNIT_ASSERT_MESSAGE(violations.empty() ? "" : violations.front(), violations.empty());
}

}

/** Kills, pauses and stops real processes while jobs and requests run. */
class RecoveryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RecoveryTest);
    CPPUNIT_TEST(gangsSurviveKilledLeaseHolder);
    CPPUNIT_TEST(resumedLeaseHolderIsFenced);
    CPPUNIT_TEST(runningGangSurvivesStoreOutage);
    CPPUNIT_TEST(lostStoreAnswersCreateNoDuplicateJobs);
    CPPUNIT_TEST(gracefulShutdownAnswersAcceptedRequests);
    CPPUNIT_TEST(killedInstanceRunsNoRequestTwice);
    CPPUNIT_TEST_SUITE_END();

    /**
     * The lease holder is killed at several moments of placing and starting jobs.
     * No gang may finish partially or run in two attempts at a time, and a
     * non-idempotent task may start at most once.
     */
    void gangsSurviveKilledLeaseHolder()
    {
        Deployment deployment;
        deployment.configure();
        std::vector<std::string> jobs;
        for (const int killAfterMs : { 50, 250, 400 }) {
            const int leaseHolder = deployment.leaseHolder(0);
            CPPUNIT_ASSERT(leaseHolder >= 0);
            const int other = 1 - leaseHolder;
            for (int i = 0; i < 2; ++i)
                jobs.push_back(deployment.submit(deployment.callerAddress(0, other), gang(1500, i == 0 ? "" : "once-" + std::to_string(killAfterMs))));
            CPPUNIT_ASSERT_MESSAGE(deployment.submissionAnswer(), !jobs.back().empty());
            std::this_thread::sleep_for(std::chrono::milliseconds(killAfterMs));
            deployment.daemon(0, leaseHolder).kill();
            CPPUNIT_ASSERT(waitUntil([&] { return deployment.leaseHolder(0) == other; }, 20 * second));
            deployment.startDaemon(0, leaseHolder);
        }
        CPPUNIT_ASSERT(deployment.waitForEnd(deployment.callerAddress(0, 0), jobs, 60 * second));
        assertNoViolations(deployment);
        const std::vector<LogEntry> log = deployment.workerLog(0);
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            const std::string state = deployment.stateOf(deployment.callerAddress(0, 0), jobs[i]);
            const bool isIdempotent = i % 2 == 0;
            CPPUNIT_ASSERT_MESSAGE(jobs[i] + " is " + state, state == "finished" || (!isIdempotent && state == "unknown"));
            for (int index = 0; !isIdempotent && index < gangTasks; ++index)
                CPPUNIT_ASSERT(startCount(log, jobs[i], index) <= 1);
        }
    }

    /**
     * The lease holder is paused beyond its lease, another instance takes over, and
     * the paused one resumes with outdated state. All jobs must finish, and no gang
     * may finish partially or run in two attempts at a time.
     */
    void resumedLeaseHolderIsFenced()
    {
        Deployment deployment;
        deployment.configure();
        const int leaseHolder = deployment.leaseHolder(0);
        const int other = 1 - leaseHolder;
        std::vector<std::string> jobs { deployment.submit(deployment.callerAddress(0, other), gang(4000)) };
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        deployment.daemon(0, leaseHolder).signal(SIGSTOP);
        CPPUNIT_ASSERT(waitUntil([&] { return deployment.leaseHolder(0) == other; }, 20 * second));
        jobs.push_back(deployment.submit(deployment.callerAddress(0, other), gang(500)));
        deployment.daemon(0, leaseHolder).signal(SIGCONT);
        const bool haveEnded = deployment.waitForEnd(deployment.callerAddress(0, other), jobs, 40 * second);
        CPPUNIT_ASSERT_MESSAGE(deployment.describe(deployment.callerAddress(0, other), jobs), haveEnded);
        for (const std::string& job : jobs)
            CPPUNIT_ASSERT_EQUAL(std::string("finished"), deployment.stateOf(deployment.callerAddress(0, other), job));
        assertNoViolations(deployment);
    }

    /**
     * The store is down for longer than the lease while a gang runs. The gang must
     * finish in the same attempt; idempotent requests are answered, others are
     * refused without being started.
     */
    void runningGangSurvivesStoreOutage()
    {
        Deployment deployment;
        deployment.configure();
        const Address caller = deployment.callerAddress(0, 0);
        const std::string job = deployment.submit(caller, gang(8000));
        CPPUNIT_ASSERT(waitUntil([&] { return deployment.stateOf(caller, job) == "running"; }));
        deployment.setPlatformFaults(R"([{"kind": "fail", "share": 1, "for_ms": 6000}])");
        std::this_thread::sleep_for(second);
        const HttpResponse answered = deployment.call(caller, "POST", "/v1/services/desk/requests?kind=check", "work", { { "x-deadline-ms", "2000" }, { "x-idempotent", "true" } });
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), answered.headers_.count("x-outcome") ? answered.headers_.at("x-outcome") : answered.body_);
        const HttpResponse refused = deployment.call(caller, "POST", "/v1/services/desk/requests?kind=batch", "billed", { { "x-deadline-ms", "2000" }, { "x-idempotent", "false" }, { "idempotency-key", "k" } });
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), refused.headers_.count("x-outcome") ? refused.headers_.at("x-outcome") : refused.body_);
        CPPUNIT_ASSERT(deployment.waitForEnd(caller, { job }, 40 * second));
        CPPUNIT_ASSERT_EQUAL(std::string("finished"), deployment.stateOf(caller, job));
        for (int index = 0; index < gangTasks; ++index)
            CPPUNIT_ASSERT_EQUAL(1, startCount(deployment.workerLog(0), job, index));
        for (const LogEntry& entry : deployment.minionLog(0))
            CPPUNIT_ASSERT(entry.fields_.at("key") != "k");
    }

    /**
     * Half of the store's commits take effect without a response. Submissions
     * repeated with the same idempotency key must create one job, which runs once.
     */
    void lostStoreAnswersCreateNoDuplicateJobs()
    {
        Deployment deployment;
        deployment.configure();
        deployment.setPlatformFaults(R"([{"kind": "lose_answer", "share": 0.5, "path": "/v1/commit"}])");
        std::map<std::string, std::string> jobs;
        for (int i = 0; i < 8; ++i) {
            std::string body = gang(200);
            body.insert(1, "\"idempotency_key\": \"job-" + std::to_string(i) + "\", ");
            for (int repeat = 0; repeat < 2; ++repeat) {
                std::string job;
                CPPUNIT_ASSERT(waitUntil([&] { job = deployment.submit(deployment.callerAddress(0, repeat), body); return !job.empty(); }, 20 * second));
                const auto known = jobs.emplace(std::to_string(i), job);
                CPPUNIT_ASSERT_EQUAL(known.first->second, job);
            }
        }
        std::vector<std::string> ids;
        ids.reserve(jobs.size());
        for (const auto& [key, job] : jobs)
            ids.push_back(job);
        CPPUNIT_ASSERT(deployment.waitForEnd(deployment.callerAddress(0, 0), ids, 60 * second));
        assertNoViolations(deployment);
        for (const std::string& job : ids)
            CPPUNIT_ASSERT_EQUAL(1, startCount(deployment.workerLog(0), job, 0));
    }

    /**
     * An instance gets SIGTERM under load. It must answer every accepted request,
     * refuse others as not run, and exit with 0.
     */
    void gracefulShutdownAnswersAcceptedRequests()
    {
        Deployment deployment;
        deployment.configure();
        const Address caller = deployment.callerAddress(0, 0);
        std::atomic<int> answered { 0 };
        std::atomic<int> unanswered { 0 };
        std::atomic<bool> isRunning { true };
        constexpr std::size_t callerCount = 8;
        std::vector<std::thread> callers;
        callers.reserve(callerCount);
        for (std::size_t i = 0; i < callerCount; ++i) {
            callers.emplace_back([&] {
                while (isRunning) {
                    const HttpResponse answer = deployment.call(caller, "POST", "/v1/services/desk/requests?kind=check", "x", { { "x-deadline-ms", "3000" }, { "x-idempotent", "true" } });
                    const auto outcome = answer.headers_.find("x-outcome");
                    if (outcome == answer.headers_.end()) {
                        // Without a connection the request was not accepted.
                        if (answer.body_.find("connect") == std::string::npos)
                            ++unanswered;
                        break;
                    }
                    if (outcome->second == "answered")
                        ++answered;
                    if (outcome->second == "not_run")
                        break;
                }
            });
        }
        CPPUNIT_ASSERT(waitUntil([&] { return answered > 40; }));
        const int status = deployment.daemon(0, 0).stop();
        isRunning = false;
        for (std::thread& thread : callers)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(0, status);
        CPPUNIT_ASSERT_EQUAL(0, unanswered.load());
    }

    /**
     * An entry instance is killed while non-idempotent requests are in progress, and
     * callers retry at another instance. No minion may run such a request twice.
     */
    void killedInstanceRunsNoRequestTwice()
    {
        Deployment deployment;
        deployment.configure();
        constexpr int requests = 16;
        std::vector<std::thread> callers;
        callers.reserve(requests);
        for (int i = 0; i < requests; ++i) {
            callers.emplace_back([&, i] {
                const HttpHeaders headers { { "x-deadline-ms", "3000" }, { "x-idempotent", "false" }, { "idempotency-key", "batch-" + std::to_string(i) } };
                // An instance without slots reports not_run; a retry with the same key is safe.
                waitUntil([&] {
                    const HttpResponse answer = deployment.call(deployment.callerAddress(0, 0), "POST", "/v1/services/desk/requests?kind=batch", "tiles", headers);
                    return answer.headers_.count("x-outcome") == 0 || answer.headers_.at("x-outcome") != "not_run";
                });
                deployment.call(deployment.callerAddress(0, 1), "POST", "/v1/services/desk/requests?kind=batch", "tiles", headers);
            });
        }
        const bool hasStartedBeforeKill = waitUntil([&] { return hasStarted(deployment, "batch-"); });
        deployment.daemon(0, 0).kill();
        for (std::thread& thread : callers)
            thread.join();
        std::map<std::string, int> starts;
        for (const LogEntry& entry : deployment.minionLog(0)) {
            if (entry.event_ == "started" && !entry.fields_.at("key").empty())
                ++starts[entry.fields_.at("key")];
        }
        CPPUNIT_ASSERT(hasStartedBeforeKill);
        for (const auto& [key, count] : starts)
            CPPUNIT_ASSERT_MESSAGE(key + " ran " + std::to_string(count) + " times", count == 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecoveryTest);
