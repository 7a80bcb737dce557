#include "../common/deployment.h"

#include <csignal>

using namespace review;

namespace {

constexpr const char* largeQueue = "/pule252/"; // termografia
constexpr const char* smallQueue = "/lohu930/"; // fotogrammetria

/** The largest scheduled job of the site's kind termografia: 3 steps of 94 tasks, eight times. */
constexpr int steps = 3;
constexpr int tasksPerStep = 94;
constexpr int occurrences = 8;
constexpr int periodMs = 3000;
constexpr int taskMs = 7600;
/** RULES.md, LOST: jobs are asked for this long after the end of the traffic, and one must not stand still for 3 s. */
constexpr int finishMs = 14000;
constexpr int standstillMs = 3000;

JobPlan largeJob()
{
    JobPlan job { jobId(1), "thermal tiles", {} };
    StepPlan step;
    step.count_ = tasksPerStep;
    step.savesProgress_ = true;
    step.workMs_ = taskMs;
    step.gpu_ = 1;
    step.cpu_ = 5600;
    step.memMb_ = 29000;
    job.steps_.assign(steps, step);
    return job;
}

JobPlan smallJob(int number)
{
    StepPlan step;
    step.count_ = 2;
    step.workMs_ = 1000;
    step.gpu_ = 1;
    step.cpu_ = 5600;
    step.memMb_ = 29000;
    return { jobId(number), "facade", { step } };
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}

/** A scheduled job of the largest size of the site runs, and small jobs of another tenant's kind come beside it. */
int main(int argc, char** argv)
{
    const CaseArguments arguments = parseArguments(argc, argv);
    Record record(arguments.record_);
    Deployment::Options options;
    Deployment deployment(arguments.program_, arguments.folder_, record, options);
    if (!deployment.start())
        return couldNotRun;
    if (arguments.hasTrouble_) {
        const Json times { { "repeats", occurrences }, { "firstMs", unixMs() + 500 }, { "periodMs", periodMs } };
        if (!deployment.submit(largeQueue, largeJob(), taskMs, times.dump()))
            return couldNotRun;
    }
    int accepted = 0;
    const std::int64_t trafficEnds = elapsedMs() + 65000;
    while (elapsedMs() < trafficEnds) {
        sleepMs(2000);
        accepted += deployment.submit(smallQueue, smallJob(2 + accepted), 1000) ? 1 : 0;
    }
    record.write("end of the traffic: %d small jobs accepted", accepted);
    sleepMs(finishMs);

    int unfinished = 0;
    for (int i = 0; i < accepted; ++i)
        unfinished += deployment.stateOf(smallQueue, jobId(2 + i)) == "completed" ? 0 : 1;
    const std::int64_t watchUntil = elapsedMs() + standstillMs;
    std::int64_t mostInUse = 0;
    int startsBefore = 0;
    int startsAfter = 0;
    const auto countStarts = [](const Minions& minions) {
        int starts = 0;
        for (const auto& [task, history] : minions.history())
            starts += history.starts_;
        return starts;
    };
    deployment.onPlatform([&](Store&, Minions& minions) { startsBefore = countStarts(minions); });
    std::int64_t accelerators = 0;
    while (elapsedMs() < watchUntil) {
        deployment.onPlatform([&](Store&, Minions& minions) {
            mostInUse = std::max(mostInUse, minions.acceleratorsInUse());
            accelerators = minions.accelerators();
        });
        sleepMs(100);
    }
    int refused = 0;
    deployment.onPlatform([&](Store& store, Minions& minions) {
        startsAfter = countStarts(minions);
        refused = store.refusedForSize();
    });
    record.write("%d of %d small jobs aren't completed; in the last 3 s %d tasks started and at most %lld of %lld accelerators were in use; the store has refused %d writes for their size",
        unfinished, accepted, startsAfter - startsBefore, static_cast<long long>(mostInUse), static_cast<long long>(accelerators), refused);
    if (accepted == 0)
        return couldNotRun;
    const bool standsStill = unfinished > 0 && startsAfter == startsBefore && 2 * mostInUse < accelerators;
    return standsStill ? ruleBroken : ruleHeld;
}
