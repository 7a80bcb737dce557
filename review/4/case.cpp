#include "../common/deployment.h"

using namespace review;

namespace {

constexpr const char* lastingQueue = "/pule252/"; // termografia, priority 2
constexpr const char* otherQueue = "/lohu930/"; // fotogrammetria, priority 1
/** Large jobs of fotogrammetria: the widest, 8 GPUs a task, the longest work. */
constexpr int burstJobs = 4;
constexpr int width = 30;
constexpr int workMs = 11000;
/** RULES.md, LOST: a task that lasts must be at work again from 6 s after its last run, but for 3 s. */
constexpr int restartMs = 6000;
constexpr int nothingRunsMs = 3000;
constexpr int observedMs = 14000;

}

/** A task that lasts fails once while large jobs wait. */
int main(int argc, char** argv)
{
    const CaseArguments arguments = parseArguments(argc, argv);
    Record record(arguments.record_);
    Deployment deployment(arguments.program_, arguments.folder_, record, Deployment::Options {});
    if (!deployment.start())
        return couldNotRun;
    const JobPlan lasting { jobId(1), "service", { StepPlan { 1, false, true, false, 1000, 1, 5600, 29000 } } };
    const std::string task = lasting.id_ + ".0.0.0";
    if (!deployment.submit(lastingQueue, lasting, 1000))
        return couldNotRun;
    sleepMs(20000);
    for (int i = 0; i < burstJobs; ++i) {
        if (!deployment.submit(otherQueue, { jobId(10 + i), "facade", { StepPlan { width, false, false, false, workMs, 8, 26000, 110000 } } }, workMs))
            return couldNotRun;
    }
    sleepMs(4000);
    bool isRunning = false;
    deployment.onPlatform([&](Store&, Minions& minions) {
        const std::vector<std::size_t> used = minions.minionsOf(task);
        isRunning = used.size() == 1;
        if (isRunning && arguments.hasTrouble_)
            minions.failRuns(used.front(), elapsedMs() + 50, 0);
    });
    if (!isRunning) {
        record.write("the lasting task doesn't run");
        return couldNotRun;
    }
    sleepMs(50);
    const std::int64_t failedAt = elapsedMs();
    std::int64_t missingSince = -1;
    std::int64_t longestMs = 0;
    std::int64_t lastShown = failedAt;
    while (elapsedMs() < failedAt + observedMs) {
        sleepMs(20);
        deployment.onPlatform([&](Store&, Minions& minions) {
            const std::int64_t now = elapsedMs();
            const bool isMissing = minions.minionsOf(task).empty();
            // Room for the task twice over, whatever the rest of the service does.
            const bool hasRoom = minions.idleMinions() > 0;
            if (now >= lastShown + 1000) {
                lastShown = now;
                record.write("%5.1f s after the failure the task %s; %lld of %lld accelerators are in use, %zu minions run nothing", static_cast<double>(now - failedAt) / 1000, isMissing ? "doesn't run" : "runs", static_cast<long long>(minions.acceleratorsInUse()), static_cast<long long>(minions.accelerators()), minions.idleMinions());
            }
            if (now < failedAt + restartMs || !isMissing || !hasRoom)
                missingSince = -1;
            else if (missingSince < 0)
                missingSince = now;
            if (missingSince >= 0)
                longestMs = std::max(longestMs, now - missingSince);
        });
    }
    record.write("from 6 s after its last run, the lasting task didn't run for %lld ms on end though minions were idle", static_cast<long long>(longestMs));
    return longestMs >= nothingRunsMs ? ruleBroken : ruleHeld;
}
