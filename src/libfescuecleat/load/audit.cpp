#include "load/audit.h"

#include "load/expectedanswer.h"
#include "load/jobhistory.h"

#include <algorithm>
#include <utility>

namespace fescuecleat {

namespace {

    using ViolationList = std::vector<Violation>;

    std::string seconds(Duration duration) { return std::to_string(std::chrono::duration<double>(duration).count()) + " s"; }

    /** Minion log entries of one request. */
    struct RequestHistory {
        int startCount_ = 0;
        std::vector<std::string> trace_;
    };

    std::map<std::string, RequestHistory> requestHistories(const std::vector<LogEntry>& log)
    {
        std::map<std::string, RequestHistory> requests;
        for (const LogEntry& entry : log) {
            if (entry.source_ != LogSource::Minion || entry.field("tag").empty())
                continue;
            RequestHistory& history = requests[entry.field("tag")];
            if (entry.event_ == "started")
                ++history.startCount_;
            history.trace_.push_back(describe(entry));
        }
        return requests;
    }

    bool wasCutByPlannedStop(const SentRequest& request, const std::vector<PlannedStop>& stops)
    {
        if (request.outcome_ != SentOutcome::Cut || request.endedAt_ >= request.deadline_)
            return false;
        return std::any_of(stops.begin(), stops.end(), [&](const PlannedStop& stop) {
            return stop.entry_ == request.entry_ && request.sentAt_ <= stop.endedAt_ && request.endedAt_ >= stop.requestedAt_;
        });
    }

    void auditRequests(const Evidence& evidence, ViolationList& violations)
    {
        const std::map<std::string, RequestHistory> histories = requestHistories(evidence.log_);
        for (const SentRequest& request : evidence.requests_) {
            const auto position = histories.find(request.tag_);
            const RequestHistory history = position == histories.end() ? RequestHistory {} : position->second;
            const auto report = [&](ViolationKind kind, const std::string& what) {
                violations.push_back({ kind, request.tag_, what + "; the caller saw " + sentOutcomeName(request.outcome_) + " at " + request.entry_, history.trace_ });
            };
            if (!request.isIdempotent_ && history.startCount_ > 1)
                report(ViolationKind::RanTwice, "a request that isn't idempotent was started " + std::to_string(history.startCount_) + " times");
            if (request.outcome_ == SentOutcome::NotRun && history.startCount_ > 0)
                report(ViolationKind::NotRunThatRan, "a request that was refused as not run was started");
            if (request.outcome_ == SentOutcome::Answered && request.answer_ != expectedAnswer(request.kind_, request.body_))
                report(ViolationKind::WrongAnswer, "the answer differs from the expected answer: '" + request.answer_.substr(0, 80) + "'");
            if (wasCutByPlannedStop(request, evidence.plannedStops_))
                report(ViolationKind::RequestCut, "a planned stop closed the connection of a request in progress");
        }
    }

    /** Longest time in which some tasks of the attempt ran while others had not started yet or had ended. */
    Duration partialRunTime(const AttemptHistory& attempt, int tasks, Time logEnd)
    {
        Time allStarted { Duration::zero() };
        Time firstUnfinishedEnd = Time::max();
        Time lastRunning { Duration::zero() };
        for (const auto& [index, task] : attempt) {
            allStarted = std::max(allStarted, task.startedAt_);
            if (task.endEvent_ != "finished")
                firstUnfinishedEnd = std::min(firstUnfinishedEnd, task.endedAt_);
            if (task.startCount_)
                lastRunning = std::max(lastRunning, std::min(task.endedAt_, logEnd));
        }
        if (static_cast<int>(attempt.size()) < tasks)
            allStarted = Time::max();
        const Time first = firstStart(attempt);
        const Duration before = std::min(allStarted, lastRunning) - first;
        const Duration after = firstUnfinishedEnd < lastRunning ? lastRunning - std::max(firstUnfinishedEnd, first) : Duration::zero();
        return std::max(before, after);
    }

    /** Time of the last log entry. */
    Time logEnd(const Evidence& evidence)
    {
        return evidence.log_.empty() ? Time(Duration::zero()) : evidence.log_.back().at_;
    }

    /** Audits the attempts and the final state of one job. */
    class JobAuditor {
    public:
        JobAuditor(const SentJob& sent, const JobHistory& history, ViolationList& violations)
            : sentJob_(sent)
            , history_(history)
            , violations_(violations)
        {
        }

        void run(const AuditLimits& limits, Time end)
        {
            const AttemptHistory* previous = nullptr;
            for (const auto& [number, attempt] : history_.attempts_) {
                if (!hasStarted(attempt))
                    continue;
                auditAttempt(number, attempt, limits, end);
                if (previous)
                    auditRestart(*previous, number, attempt);
                previous = &attempt;
            }
            auditFinalState();
        }

    private:
        void report(ViolationKind kind, const std::string& what)
        {
            violations_.push_back({ kind, sentJob_.jobId_, what + "; tag " + sentJob_.tag_ + ", state " + sentJob_.state_, history_.trace_ });
        }

        void auditAttempt(int number, const AttemptHistory& attempt, const AuditLimits& limits, Time end)
        {
            const std::string name = "attempt " + std::to_string(number);
            for (const auto& [index, task] : attempt) {
                if (task.startCount_ > 1)
                    report(ViolationKind::RanTwice, "task " + std::to_string(index) + " of " + name + " was started " + std::to_string(task.startCount_) + " times");
            }
            if (finishedTasks(attempt) == sentJob_.tasks_)
                return;
            const Duration partial = partialRunTime(attempt, sentJob_.tasks_, end);
            if (partial > limits.maxPartialGangTime_)
                report(ViolationKind::RanPartly, name + " ran with only part of its " + std::to_string(sentJob_.tasks_) + " tasks for " + seconds(partial));
        }

        void auditRestart(const AttemptHistory& previous, int number, const AttemptHistory& restarted)
        {
            const std::string name = "attempt " + std::to_string(number);
            if (firstStart(restarted) < lastEnd(previous))
                report(ViolationKind::RanTwice, name + " started before the previous attempt had ended");
            if (!sentJob_.isIdempotent_ && !isCheckpointed(previous))
                report(ViolationKind::RanTwice, name + " restarted a job that isn't idempotent and has no checkpoint");
        }

        void auditFinalState()
        {
            if (sentJob_.state_ == "missing")
                return report(ViolationKind::AcceptedWorkLost, "an accepted job is unknown to the system");
            if (sentJob_.state_ == "failed" && sentJob_.isIdempotent_ && !hasFailedTask())
                return report(ViolationKind::AcceptedWorkLost, "a job failed although none of its tasks failed: " + sentJob_.reason_);
            if (sentJob_.state_ != "finished")
                return;
            const bool hasCompleteAttempt = std::any_of(history_.attempts_.begin(), history_.attempts_.end(), [this](const auto& item) { return finishedTasks(item.second) == sentJob_.tasks_; });
            if (!hasCompleteAttempt)
                report(ViolationKind::RanPartly, "a finished job has no attempt in which all tasks finished");
        }

        bool hasFailedTask() const
        {
            for (const auto& [number, attempt] : history_.attempts_) {
                for (const auto& [index, task] : attempt) {
                    if (task.endEvent_ == "failed")
                        return true;
                }
            }
            return false;
        }

        const SentJob& sentJob_;
        const JobHistory& history_;
        ViolationList& violations_;
    };

    void auditJobs(const Evidence& evidence, const AuditLimits& limits, ViolationList& violations)
    {
        const std::map<std::string, JobHistory> histories = jobHistories(evidence.log_);
        for (const SentJob& job : evidence.jobs_) {
            if (job.jobId_.empty())
                continue;
            const auto position = histories.find(job.jobId_);
            const JobHistory history = position == histories.end() ? JobHistory {} : position->second;
            JobAuditor(job, history, violations).run(limits, logEnd(evidence));
        }
    }

    void auditStartsAfterTakeOut(const Evidence& evidence, const AuditLimits& limits, ViolationList& violations)
    {
        for (const TakenOutDataCentre& takenOut : evidence.takenOutDataCentres_) {
            const Time latestAllowed = std::min(takenOut.doneAt_, takenOut.requestedAt_ + limits.maxStartDelayAfterTakeOut_);
            for (const LogEntry& entry : evidence.log_) {
                if (entry.source_ != LogSource::Worker || entry.event_ != "started" || entry.dataCentre_ != takenOut.dataCentre_)
                    continue;
                if (entry.at_ > latestAllowed && entry.at_ < takenOut.returnedAt_)
                    violations.push_back({ ViolationKind::StartAfterTakenOut, entry.field("job"), "a task started in " + takenOut.dataCentre_ + " " + seconds(entry.at_ - takenOut.requestedAt_) + " after it was taken out", { describe(entry) } });
            }
        }
    }

    /** Finds tasks that still run in a taken-out data centre after the deadline for running work. */
    void auditDrain(const Evidence& evidence, const AuditLimits& limits, ViolationList& violations)
    {
        const Time end = logEnd(evidence);
        for (const TakenOutDataCentre& takenOut : evidence.takenOutDataCentres_) {
            if (takenOut.deadline_ >= Time::max() - limits.maxRunAfterDeadline_ || takenOut.returnedAt_ < takenOut.deadline_ + limits.maxRunAfterDeadline_)
                continue;
            std::map<std::string, const LogEntry*> running;
            const Time latestAllowed = takenOut.deadline_ + limits.maxRunAfterDeadline_;
            if (end <= latestAllowed)
                continue;
            for (const LogEntry& entry : evidence.log_) {
                if (entry.source_ != LogSource::Worker || entry.dataCentre_ != takenOut.dataCentre_ || entry.field("job").empty() || entry.at_ > latestAllowed)
                    continue;
                const std::string task = entry.field("job") + "/" + entry.field("attempt") + "/" + entry.field("index");
                if (entry.event_ == "started")
                    running[task] = &entry;
                else if (entry.event_ != "prepared" && entry.event_ != "start_refused")
                    running.erase(task);
            }
            for (const auto& [task, started] : running)
                violations.push_back({ ViolationKind::RunningAfterDeadline, task, "a task still ran in " + takenOut.dataCentre_ + " " + seconds(limits.maxRunAfterDeadline_) + " after the deadline for running work", { describe(*started) } });
        }
    }

    void auditLeavingMinions(const Evidence& evidence, const AuditLimits& limits, ViolationList& violations)
    {
        std::map<std::string, Time> leaving;
        for (const LogEntry& entry : evidence.log_) {
            if (entry.source_ != LogSource::Minion)
                continue;
            if (entry.event_ == "leaving")
                leaving.emplace(entry.instance_, entry.at_);
            const auto leavingSince = leaving.find(entry.instance_);
            if (entry.event_ == "received" && leavingSince != leaving.end() && entry.at_ > leavingSince->second + limits.maxWorkAfterLeaving_)
                violations.push_back({ ViolationKind::WorkToLeavingMinion, entry.instance_, "new work arrived " + seconds(entry.at_ - leavingSince->second) + " after the minion said that it leaves", { describe(entry) } });
        }
    }

    void auditConfiguration(const Evidence& evidence, ViolationList& violations)
    {
        std::map<std::string, ReportedConfiguration> latest;
        for (const ReportedConfiguration& reported : evidence.reportedConfigurations_) {
            const auto [position, isFirst] = latest.emplace(reported.instance_, reported);
            const std::string description = "version " + std::to_string(reported.version_) + " was in force";
            if (!isFirst && reported.version_ < position->second.version_)
                violations.push_back({ ViolationKind::ConfigurationReverted, reported.instance_, description + " after version " + std::to_string(position->second.version_), {} });
            position->second = reported;
            for (const AcceptedConfiguration& accepted : evidence.acceptedConfigurations_) {
                if (reported.version_ < accepted.version_ && reported.requestedAt_ > accepted.acceptedAt_)
                    violations.push_back({ ViolationKind::ConfigurationReverted, reported.instance_, description + " after version " + std::to_string(accepted.version_) + " was accepted", {} });
            }
        }
    }

}

const char* violationKindName(ViolationKind kind)
{
    switch (kind) {
    case ViolationKind::RanTwice:
        return "ran_twice";
    case ViolationKind::RanPartly:
        return "ran_partly";
    case ViolationKind::WrongAnswer:
        return "wrong_answer";
    case ViolationKind::NotRunThatRan:
        return "not_run_that_ran";
    case ViolationKind::StartAfterTakenOut:
        return "start_after_taken_out";
    case ViolationKind::RunningAfterDeadline:
        return "running_after_deadline";
    case ViolationKind::WorkToLeavingMinion:
        return "work_to_leaving_minion";
    case ViolationKind::ConfigurationReverted:
        return "configuration_reverted";
    case ViolationKind::RequestCut:
        return "request_cut";
    case ViolationKind::AcceptedWorkLost:
        return "accepted_work_lost";
    case ViolationKind::IncompleteLog:
        return "incomplete_log";
    }
    return "incomplete_log";
}

std::optional<ViolationKind> violationKind(const std::string& name)
{
    for (int position = 0; position <= static_cast<int>(ViolationKind::IncompleteLog); ++position) {
        const auto kind = static_cast<ViolationKind>(position);
        if (name == violationKindName(kind))
            return kind;
    }
    return std::nullopt;
}

std::vector<Violation> audit(const Evidence& evidence, const AuditLimits& limits)
{
    ViolationList violations;
    if (evidence.droppedLogEntries_)
        violations.push_back({ ViolationKind::IncompleteLog, "logs", std::to_string(evidence.droppedLogEntries_) + " log entries are missing; shorten the run", {} });
    auditRequests(evidence, violations);
    auditJobs(evidence, limits, violations);
    auditStartsAfterTakeOut(evidence, limits, violations);
    auditDrain(evidence, limits, violations);
    auditLeavingMinions(evidence, limits, violations);
    auditConfiguration(evidence, violations);
    return violations;
}

}
