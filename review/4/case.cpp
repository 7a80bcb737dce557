#include "../common/deployment.h"

using namespace review;

namespace {

constexpr const char* queue = "/lohu930/"; // fotogrammetria
/** Clients that give up leave after half of the latency target, which is 1,000 ms here. */
constexpr int leavesAfterMs = 500;
/** The store loses answers for this long; what it doesn't answer is done 4 s later if its condition still holds. */
constexpr int lossyMs = 400;
constexpr int doneAfterMs = 4000;
/** RULES.md, UNASKED, with the bounds of the site. */
constexpr int cancelMs = 3000;
constexpr int stopMs = 200;
constexpr int stableMs = 3000;
constexpr int workMs = 7600;

}

/**
 * A client hands a job in at one instance while the store loses answers, leaves without an
 * answer, and cancels the job at another instance, which acknowledges that there is no such job.
 */
int main(int argc, char** argv)
{
    const CaseArguments arguments = parseArguments(argc, argv);
    Record record(arguments.record_);
    Deployment::Options options;
    Deployment deployment(arguments.program_, arguments.folder_, record, options);
    if (!deployment.start())
        return couldNotRun;
    const JobPlan job { jobId(1), "facade", { StepPlan { 2, false, false, false, workMs, 1, 5600, 29000 } } };
    deployment.onPlatform([&](Store& store, Minions& minions) {
        minions.addJob(job);
        if (arguments.hasTrouble_)
            store.delayWritesOf("intake", std::chrono::milliseconds(doneAfterMs));
    });
    const std::int64_t lossyUntil = elapsedMs() + lossyMs;
    std::thread platform([&] {
        sleepMs(lossyMs);
        deployment.onPlatform([](Store& store, Minions&) { store.delayWritesOf({}, {}); });
        record.write("the store answers all calls from now on");
    });
    const CallResult submitted = deployment.call(0, "POST", queue, job.id_, Deployment::encodeJob(job, workMs, {}), 3000, leavesAfterMs);
    record.write("POST %s%s at instance 1: %s%d", queue, job.id_.c_str(), submitted.status_ == 0 ? "the client leaves without an answer after 500 ms, " : "", submitted.status_);
    platform.join();
    const CallResult cancelled = deployment.call(1, "DELETE", queue, job.id_);
    const std::int64_t cancelledAt = elapsedMs();
    record.write("DELETE %s%s at instance 2: %d", queue, job.id_.c_str(), cancelled.status_);
    if (cancelled.status_ != 200 && cancelled.status_ != 410)
        return couldNotRun;
    // A task may run on stopMs after cancelMs; the check waits until the store has also been without disruption for stableMs.
    const std::int64_t mustBeGoneAt = std::max(cancelledAt + cancelMs + stopMs, lossyUntil + stableMs);
    std::int64_t ranOnMs = 0;
    while (elapsedMs() < cancelledAt + 15000) {
        sleepMs(50);
        deployment.onPlatform([&](Store&, Minions& minions) {
            if (elapsedMs() > mustBeGoneAt && minions.acceleratorsInUse() > 0)
                ranOnMs = elapsedMs() - cancelledAt;
        });
    }
    const std::string state = deployment.stateOf(queue, job.id_);
    record.write("the job is shown as %s; its tasks ran on until %lld ms after its cancelling had been acknowledged", state.c_str(), static_cast<long long>(ranOnMs));
    return ranOnMs > 0 ? ruleBroken : ruleHeld;
}
