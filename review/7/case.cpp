#include "../common/deployment.h"

using namespace review;

namespace {

constexpr const char* ordinaryQueue = "/pule252/"; // termografia, priority 2
constexpr const char* urgentQueue = "/pufi791/"; // verifica-fessure, priority 0
constexpr int workMs = 8000;
constexpr int width = 21;
constexpr int reclaimMs = 2700;
constexpr int observedMs = 12000;

}

int main(int argc, char** argv)
{
    const CaseArguments arguments = parseArguments(argc, argv);
    Record record(arguments.record_);
    Deployment::Options options;
    options.minionSettings_.stopMs_ = 200;
    Deployment deployment(arguments.program_, arguments.folder_, record, options);
    if (!deployment.start())
        return couldNotRun;
    if (arguments.hasTrouble_) {
        for (int i = 0; i < 10; ++i) {
            if (!deployment.submit(ordinaryQueue, { jobId(1 + i), "tiles", { StepPlan { 94, false, false, true, 11000, 1, 5600, 29000 } } }, 11000))
                return couldNotRun;
        }
    }
    sleepMs(6000);
    std::int64_t inUse = 0;
    deployment.onPlatform([&](Store&, Minions& minions) { inUse = minions.acceleratorsInUse(); });
    record.write("%lld accelerators are in use", static_cast<long long>(inUse));
    const JobPlan urgent { jobId(100), "cracks", { StepPlan { width, false, false, false, workMs, 1, 7500, 31000 } } };
    if (!deployment.submit(urgentQueue, urgent, workMs))
        return couldNotRun;
    const std::int64_t confirmedAt = elapsedMs();
    sleepMs(observedMs);
    std::int64_t last = 0;
    int begun = 0, inTime = 0;
    deployment.onPlatform([&](Store&, Minions& minions) {
        for (const auto& [task, history] : minions.history())
            if (task.rfind(urgent.id_, 0) == 0) {
                ++begun;
                last = std::max(last, history.lastStartMs_);
                inTime += history.lastStartMs_ <= confirmedAt + reclaimMs ? 1 : 0;
            }
    });
    record.write("%d of %d tasks begun, %d within %d ms; the last %lld ms after the confirmation", begun, width, inTime, reclaimMs, static_cast<long long>(last - confirmedAt));
    return inTime < width ? ruleBroken : ruleHeld;
}
