#include "../common/deployment.h"

#include <atomic>
#include <thread>

using namespace review;

namespace {

constexpr const char* queue = "/lohu930/"; // fotogrammetria
/** How long the store refuses the calls of one part; in the site file it lasts for 4.5 s and more. */
constexpr int outageMs = 1500;
/** The operator writes two configurations, as close to each other as some days of the site file have them. */
constexpr int changes = 2;
constexpr int betweenChangesMs = 500;
constexpr int takenUntilMs = 30000;
constexpr int workMs = 1000;
/** RULES.md, LOST: jobs are asked for this long after the end of the traffic, and one must not stand still for 3 s. */
constexpr int finishMs = 14000;
constexpr int standstillMs = 3000;

}

/** The holder of the scheduler's lease is restarted in turn, while the store refuses one part for a moment and the configuration changes. */
int main(int argc, char** argv)
{
    const CaseArguments arguments = parseArguments(argc, argv);
    Record record(arguments.record_);
    Deployment deployment(arguments.program_, arguments.folder_, record, Deployment::Options {});
    if (!deployment.start())
        return couldNotRun;
    const auto smallJob = [](int number) { return JobPlan { jobId(number), "facade", { StepPlan { 2, false, false, false, workMs, 1, 5600, 29000 } } }; };
    if (!deployment.submit(queue, smallJob(1), workMs))
        return couldNotRun;
    sleepMs(4000);
    if (deployment.stateOf(queue, jobId(1)) != "completed")
        return couldNotRun;

    std::string former;
    deployment.onPlatform([&](Store& store, Minions&) { former = Json::parse(store.valueOf("lease", "scheduler", "pool"), nullptr, false).value("holder", std::string()); });
    std::size_t holder = deployment.instances();
    for (std::size_t i = 0; i < deployment.instances(); ++i)
        holder = deployment.nameOf(i) == former ? i : holder;
    if (holder == deployment.instances()) {
        record.write("no instance holds the lease");
        return couldNotRun;
    }
    record.write("the lease is held by %s", former.c_str());
    std::atomic<bool> isTaken { false };
    deployment.onPlatform([&](Store& store, Minions&) {
        store.onWrite("lease", [&](const std::string& value) {
            const Json lease = Json::parse(value, nullptr, false);
            if (isTaken || lease.value("holder", std::string()) == former)
                return;
            isTaken = true;
            record.write("the lease is taken by %s", lease.value("holder", std::string()).c_str());
            if (!arguments.hasTrouble_)
                return;
            record.write("the store answers 503 to the calls of the part `scheduler` for %d ms", outageMs);
            store.refusePart("scheduler", elapsedMs() + outageMs);
        });
    });
    std::thread planned([&] {
        while (!isTaken && elapsedMs() < takenUntilMs)
            sleepMs(5);
        for (int i = 0; i < changes; ++i) {
            sleepMs(betweenChangesMs);
            deployment.changeConfiguration();
        }
    });
    deployment.restartInstance(holder);
    planned.join();
    if (!isTaken) {
        record.write("no other instance takes the lease");
        return couldNotRun;
    }
    sleepMs(8000);

    int accepted = 0;
    for (; accepted < 10; ++accepted) {
        if (!deployment.submit(queue, smallJob(2 + accepted), workMs))
            return couldNotRun;
        sleepMs(1000);
    }
    record.write("end of the traffic: %d jobs accepted since", accepted);
    sleepMs(finishMs);
    const auto countStarts = [](const Minions& minions) {
        int starts = 0;
        for (const auto& [task, history] : minions.history())
            starts += task.rfind(jobId(1), 0) == 0 ? 0 : history.starts_;
        return starts;
    };
    int startedBefore = 0;
    int started = 0;
    std::int64_t inUse = 0;
    deployment.onPlatform([&](Store&, Minions& minions) { startedBefore = countStarts(minions); });
    const std::int64_t watchUntil = elapsedMs() + standstillMs;
    while (elapsedMs() < watchUntil) {
        sleepMs(100);
        deployment.onPlatform([&](Store&, Minions& minions) { inUse = std::max(inUse, minions.acceleratorsInUse()); });
    }
    deployment.onPlatform([&](Store&, Minions& minions) { started = countStarts(minions); });
    int unfinished = 0;
    for (int i = 0; i < accepted; ++i)
        unfinished += deployment.stateOf(queue, jobId(2 + i)) == "completed" ? 0 : 1;
    record.write("%d of %d jobs aren't completed; %d of their tasks were ever started; in the last 3 s at most %lld accelerators were in use", unfinished, accepted, started, static_cast<long long>(inUse));
    return unfinished > 0 && started == startedBefore && inUse == 0 ? ruleBroken : ruleHeld;
}
