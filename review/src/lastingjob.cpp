#include "../common/deployment.h"

#include <random>

using namespace review;

namespace {

constexpr const char* queue = "/lohu930/";
/** The site's crashes of minions: this share of them is down for 4.5 s. */
constexpr double crashShare = 0.14;
constexpr int downMs = 4500;
/** Crashes that hit the minion of one task of the job. */
constexpr int crashes = 4;
/** Life of the first run and of each later one at the crash. */
constexpr int firstLifeMs = 7000;
constexpr int lifeMs = 4000;

}

/** Minions crash and come back, four times also the one that runs a certain task of a lasting job. No run ends as failed. */
int main(int argc, char** argv)
{
    const CaseArguments arguments = parseArguments(argc, argv);
    Record record(arguments.record_);
    Deployment::Options options;
    Deployment deployment(arguments.program_, arguments.folder_, record, options);
    if (!deployment.start())
        return couldNotRun;
    StepPlan step;
    step.count_ = 6;
    step.isLongRunning_ = true;
    step.gpu_ = 2;
    step.cpu_ = 7500;
    step.memMb_ = 31000;
    const JobPlan job { jobId(1), "viewer of the survey", { step } };
    if (!deployment.submit(queue, job, 2500))
        return couldNotRun;
    const std::string watched = job.id_ + ".0.0.0";
    std::mt19937 random(7);
    const std::int64_t until = elapsedMs() + 95000;
    int crashed = 0;
    while (arguments.hasTrouble_ && crashed < crashes && elapsedMs() < until) {
        sleepMs(50);
        deployment.onPlatform([&](Store&, Minions& minions) {
            const std::vector<std::size_t> at = minions.minionsOf(watched);
            const auto history = minions.history().find(watched);
            if (at.empty() || history == minions.history().end() || elapsedMs() - history->second.lastStartMs_ < (crashed == 0 ? firstLifeMs : lifeMs))
                return;
            const auto hit = static_cast<std::size_t>(crashShare * static_cast<double>(minions.count()) + 0.5);
            std::set<std::size_t> chosen(at.begin(), at.end());
            while (chosen.size() < hit)
                chosen.insert(random() % minions.count());
            ++crashed;
            record.write("crash %d of the minion that runs %s, and of %zu others", crashed, watched.c_str(), chosen.size() - at.size());
            for (const std::size_t minion : chosen)
                minions.crash(minion, downMs);
        });
    }
    if (!arguments.hasTrouble_)
        sleepMs(40000);
    else if (crashed < crashes)
        record.write("the task was active for only %d of %d crashes", crashed, crashes);
    // Three times the 3 s after which a lasting task must be at work again, and the 6 s before them.
    sleepMs(downMs + 15000);
    const std::string state = deployment.stateOf(queue, job.id_);
    int active = 0;
    int failed = 0;
    deployment.onPlatform([&](Store&, Minions& minions) {
        for (const auto& [task, history] : minions.history()) {
            active += history.active_;
            failed += history.failed_;
        }
    });
    record.write("the job, which nobody cancelled, is shown as %s; %d runs ended as failed; %d of %d tasks are active", state.c_str(), failed, active, step.count_);
    if (state == "failed" || state == "cancelled" || state == "410")
        return ruleBroken;
    return state == "running" && active == step.count_ ? ruleHeld : couldNotRun;
}
