#include "../common/deployment.h"

using namespace review;

namespace {

constexpr const char* queue = "/pufi791/"; // verifica-fessure: gangs, 2 attempts
/** The longest that workers fail what they start (srv_grey), and the time after which a task fails there. */
constexpr int greyMs = 6500;
constexpr int failsAfterMs = 500;
constexpr int attempts = 2;

JobPlan gang(int number)
{
    return { jobId(number), "crack-map", { StepPlan { 3, true, false, false, 2500, 8, 7500, 31000 } } };
}

}

/** A gang is started on minions that fail all that they start. */
int main(int argc, char** argv)
{
    const CaseArguments arguments = parseArguments(argc, argv);
    Record record(arguments.record_);
    Deployment::Options options;
    options.attempts_ = attempts;
    Deployment deployment(arguments.program_, arguments.folder_, record, options);
    if (!deployment.start())
        return couldNotRun;
    // The next job of the same kind goes where this one went.
    const JobPlan first = gang(1);
    if (!deployment.submit(queue, first, 2500))
        return couldNotRun;
    std::vector<std::size_t> used;
    for (int i = 0; i < 40 && used.size() < 3; ++i) {
        sleepMs(50);
        deployment.onPlatform([&](Store&, Minions& minions) {
            used.clear();
            for (int index = 0; index < first.steps_.front().count_; ++index) {
                for (const std::size_t minion : minions.minionsOf(first.id_ + ".0.0." + std::to_string(index)))
                    used.push_back(minion);
            }
        });
    }
    sleepMs(4000);
    if (used.size() < 3 || deployment.stateOf(queue, first.id_) != "completed")
        return couldNotRun;
    const JobPlan second = gang(2);
    if (arguments.hasTrouble_)
        deployment.onPlatform([&](Store&, Minions& minions) {
            for (const std::size_t minion : used)
                minions.failRuns(minion, elapsedMs() + greyMs, failsAfterMs);
        });
    if (!deployment.submit(queue, second, 2500))
        return couldNotRun;
    sleepMs(12000);
    const std::string state = deployment.stateOf(queue, second.id_);
    int runs = 0;
    int failedTasks = 0;
    deployment.onPlatform([&](Store&, Minions& minions) {
        for (int index = 0; index < second.steps_.front().count_; ++index) {
            const auto task = minions.history().find(second.id_ + ".0.0." + std::to_string(index));
            if (task == minions.history().end())
                continue;
            runs = std::max(runs, task->second.starts_);
            failedTasks += task->second.failed_;
        }
    });
    record.write("the job is shown as %s after %d runs of the gang, of %d attempts; %d ends `failed`, one of each task", state.c_str(), runs, attempts, failedTasks);
    if (arguments.hasTrouble_ && failedTasks == 0) {
        record.write("the gang wasn't started on the minions that fail");
        return couldNotRun;
    }
    return state == "failed" && runs < attempts ? ruleBroken : ruleHeld;
}
