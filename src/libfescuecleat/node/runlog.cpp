#include "node/runlog.h"

#include <map>
#include <tuple>

namespace fescuecleat {

namespace {

    using Json = nlohmann::json;

    /** Job, step and run number, and the value that the runs of a line have in common. */
    using GroupKey = std::tuple<std::string, std::string, int, std::string>;
    /** Indexes of tasks by worker. */
    using TasksByWorker = std::map<std::string, std::vector<int>>;

    GroupKey groupOf(const RunId& run, std::string common)
    {
        return { run.task_.job_, std::to_string(run.task_.occurrence_) + "." + std::to_string(run.task_.step_), run.number_, std::move(common) };
    }

    Json fieldsOf(const GroupKey& group, const char* commonName)
    {
        const auto& [job, step, run, common] = group;
        return { { "job", job }, { "step", step }, { "run", run }, { commonName, common } };
    }

    const char* endName(EndReason reason)
    {
        switch (reason) {
        case EndReason::Done:
            return "done";
        case EndReason::Failed:
            return "failed";
        case EndReason::Stopped:
            return "stopped";
        case EndReason::LeaseExpired:
            return "lease_lapsed";
        case EndReason::GangBroken:
            return "gang_broken";
        case EndReason::GangIncomplete:
            return "gang_incomplete";
        }
        return "unknown";
    }

}

void RunLog::started(const std::vector<StartDecision>& starts)
{
    std::map<GroupKey, TasksByWorker> groups;
    for (const StartDecision& start : starts)
        groups[groupOf(start.run_, start.checkpoint_)][start.worker_.id_].push_back(start.run_.task_.index_);
    for (const auto& [group, workers] : groups) {
        Json fields = fieldsOf(group, "checkpoint");
        fields["workers"] = workers;
        log_.write("run.start", std::move(fields));
    }
}

void RunLog::stopped(const std::vector<StopDecision>& stops)
{
    std::map<GroupKey, TasksByWorker> groups;
    for (const StopDecision& stop : stops)
        groups[groupOf(stop.run_, stop.cause_)][stop.worker_.id_].push_back(stop.run_.task_.index_);
    for (const auto& [group, workers] : groups) {
        Json fields = fieldsOf(group, "cause");
        fields["workers"] = workers;
        log_.write("run.stop", std::move(fields));
    }
}

void RunLog::lost(const std::vector<LostRun>& runs)
{
    std::map<GroupKey, TasksByWorker> groups;
    for (const LostRun& lost : runs)
        groups[groupOf(lost.run_, lost.cause_)][lost.worker_.id_].push_back(lost.run_.task_.index_);
    for (const auto& [group, workers] : groups) {
        Json fields = fieldsOf(group, "cause");
        fields["workers"] = workers;
        log_.write("run.lost", std::move(fields));
    }
}

void RunLog::crashed(const std::vector<WorkerCrash>& crashes, Time now)
{
    for (const WorkerCrash& crash : crashes) {
        if (crash.runs_.empty())
            continue;
        Json starting = Json::object();
        Json atWork = Json::object();
        for (const InterruptedRun& run : crash.runs_)
            (run.hasSurvivedStart_ ? atWork : starting)[toString(run.run_.task_)] = wholeMilliseconds(crash.silentSince_ - run.startedAt_);
        log_.write("worker.crashed", { { "worker", crash.worker_.id_ }, { "born", crash.worker_.startedUnixMs_ }, { "silentMsAgo", wholeMilliseconds(now - crash.silentSince_) }, { "hasOtherCause", crash.hasOtherCause_ }, { "startingForMs", std::move(starting) }, { "atWorkForMs", std::move(atWork) } });
    }
}

void RunLog::givenUp(const std::vector<DeadlyTask>& tasks)
{
    for (const DeadlyTask& task : tasks)
        log_.write("task.deadly", { { "job", task.task_.job_ }, { "task", toString(task.task_) }, { "crashes", task.crashes_.total_ }, { "crashesAtStart", task.crashes_.atStart_ }, { "machines", task.crashes_.machines_ } });
}

void RunLog::limited(const std::vector<LimitChange>& changes)
{
    for (const LimitChange& change : changes)
        log_.write("organisation.limited", { { "organisation", change.organisation_ }, { "isWaiting", change.isWaiting_ }, { "resource", toString(change.resource_) }, { "limit", change.limit_ }, { "used", change.used_ } });
}

void RunLog::postponed(const std::vector<PostponedJob>& jobs, Time now)
{
    for (const PostponedJob& job : jobs) {
        if (postponedLines_.take(now))
            log_.write("job.postponed", { { "job", job.job_ }, { "queue", job.queue_ }, { "organisation", job.organisation_ }, { "workS", job.work_ }, { "backlogS", job.backlogWork_ }, { "rate", job.rate_ }, { "omittedLines", postponedLines_.omitted() } });
    }
}

void RunLog::moved(const std::vector<MovedRun>& runs)
{
    std::map<GroupKey, TasksByWorker> groups;
    for (const MovedRun& moved : runs)
        groups[groupOf(moved.run_, std::to_string(moved.current_.startedUnixMs_))][moved.current_.id_].push_back(moved.run_.task_.index_);
    for (const auto& [group, workers] : groups) {
        Json fields = fieldsOf(group, "born");
        fields["workers"] = workers;
        log_.write("run.moved", std::move(fields));
    }
}

void RunLog::ended(const std::string& worker, const std::vector<ReportedEnd>& ends)
{
    std::map<GroupKey, std::vector<int>> groups;
    for (const ReportedEnd& end : ends)
        groups[groupOf(end.run_, endName(end.reason_))].push_back(end.run_.task_.index_);
    for (const auto& [group, tasks] : groups) {
        Json fields = fieldsOf(group, "how");
        fields["worker"] = worker;
        fields["tasks"] = tasks;
        log_.write("run.ended", std::move(fields));
    }
}

}
