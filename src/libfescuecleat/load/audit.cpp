#include "load/audit.h"

#include "load/expectedanswer.h"
#include "load/jobhistory.h"

#include <algorithm>
#include <utility>

namespace fescuecleat {

namespace {

    using Violations = std::vector<Violation>;

    std::string seconds(Duration duration) { return std::to_string(std::chrono::duration<double>(duration).count()) + " s"; }

    /** What minions saw of one request. */
    struct RequestHistory {
        int starts_ = 0;
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
                ++history.starts_;
            history.trace_.push_back(describe(entry));
        }
        return requests;
    }

    bool wasCutByPlannedStop(const SentRequest& request, const std::vector<PlannedStop>& stops)
    {
        if (request.outcome_ != SentOutcome::Cut || request.ended_ >= request.deadline_)
            return false;
        return std::any_of(stops.begin(), stops.end(), [&](const PlannedStop& stop) {
            return stop.entry_ == request.entry_ && request.sent_ <= stop.ended_ && request.ended_ >= stop.asked_;
        });
    }

    void auditRequests(const Evidence& evidence, Violations& found)
    {
        const std::map<std::string, RequestHistory> histories = requestHistories(evidence.log_);
        for (const SentRequest& request : evidence.requests_) {
            const auto known = histories.find(request.tag_);
            const RequestHistory history = known == histories.end() ? RequestHistory {} : known->second;
            const auto report = [&](ViolationKind kind, const std::string& what) {
                found.push_back({ kind, request.tag_, what + "; its caller saw " + sentOutcomeName(request.outcome_) + " at " + request.entry_, history.trace_ });
            };
            if (!request.isIdempotent_ && history.starts_ > 1)
                report(ViolationKind::RanTwice, "a request that isn't idempotent was started " + std::to_string(history.starts_) + " times");
            if (request.outcome_ == SentOutcome::NotRun && history.starts_ > 0)
                report(ViolationKind::NotRunThatRan, "a request that was refused as not run was started");
            if (request.outcome_ == SentOutcome::Answered && request.answer_ != expectedAnswer(request.kind_, request.body_))
                report(ViolationKind::WrongAnswer, "the answer is not the whole answer to this request: '" + request.answer_.substr(0, 80) + "'");
            if (wasCutByPlannedStop(request, evidence.stops_))
                report(ViolationKind::RequestCut, "a request in progress was cut by a planned stop");
        }
    }

    /** When the first task of the attempt was not running any more, or not yet, while others were; and for how long. */
    Duration partialTime(const AttemptHistory& attempt, int tasks, Time end)
    {
        Time whole { Duration::zero() };
        Time firstEnd = Time::max();
        Time last { Duration::zero() };
        for (const auto& [index, task] : attempt) {
            whole = std::max(whole, task.started_);
            if (task.end_ != "finished")
                firstEnd = std::min(firstEnd, task.ended_);
            if (task.starts_)
                last = std::max(last, std::min(task.ended_, end));
        }
        if (static_cast<int>(attempt.size()) < tasks)
            whole = Time::max();
        const Time first = firstStart(attempt);
        const Duration before = std::min(whole, last) - first;
        const Duration after = firstEnd < last ? last - std::max(firstEnd, first) : Duration::zero();
        return std::max(before, after);
    }

    /** The end of what the logs show. */
    Time logEnd(const Evidence& evidence)
    {
        return evidence.log_.empty() ? Time(Duration::zero()) : evidence.log_.back().at_;
    }

    class JobAudit {
    public:
        JobAudit(const SentJob& sent, const JobHistory& history, Violations& found)
            : sent_(sent)
            , history_(history)
            , found_(found)
        {
        }

        void run(const AuditLimits& limits, Time end)
        {
            const AttemptHistory* earlier = nullptr;
            for (const auto& [number, attempt] : history_.attempts_) {
                if (!hasStarted(attempt))
                    continue;
                auditAttempt(number, attempt, limits, end);
                if (earlier)
                    auditRepeat(*earlier, number, attempt);
                earlier = &attempt;
            }
            auditEnd();
        }

    private:
        void report(ViolationKind kind, const std::string& what)
        {
            found_.push_back({ kind, sent_.job_, what + "; tag " + sent_.tag_ + ", state " + sent_.state_, history_.trace_ });
        }

        void auditAttempt(int number, const AttemptHistory& attempt, const AuditLimits& limits, Time end)
        {
            const std::string name = "attempt " + std::to_string(number);
            for (const auto& [index, task] : attempt) {
                if (task.starts_ > 1)
                    report(ViolationKind::RanTwice, "task " + std::to_string(index) + " of " + name + " was started " + std::to_string(task.starts_) + " times");
            }
            if (finishedTasks(attempt) == sent_.tasks_)
                return;
            const Duration partial = partialTime(attempt, sent_.tasks_, end);
            if (partial > limits.partialGang_)
                report(ViolationKind::RanPartly, name + " ran with only part of its " + std::to_string(sent_.tasks_) + " tasks for " + seconds(partial));
        }

        void auditRepeat(const AttemptHistory& earlier, int number, const AttemptHistory& later)
        {
            const std::string name = "attempt " + std::to_string(number);
            if (firstStart(later) < lastEnd(earlier))
                report(ViolationKind::RanTwice, name + " started before the one before it had ended");
            if (!sent_.isIdempotent_ && !isCheckpointed(earlier))
                report(ViolationKind::RanTwice, name + " began a job that isn't idempotent anew");
        }

        void auditEnd()
        {
            if (sent_.state_ == "missing")
                return report(ViolationKind::AcceptedWorkLost, "an accepted job is not known any more");
            if (sent_.state_ == "failed" && sent_.isIdempotent_ && !hasFailedTask())
                return report(ViolationKind::AcceptedWorkLost, "a job failed although no task of it did: " + sent_.reason_);
            if (sent_.state_ != "finished")
                return;
            const bool isWhole = std::any_of(history_.attempts_.begin(), history_.attempts_.end(), [this](const auto& item) { return finishedTasks(item.second) == sent_.tasks_; });
            if (!isWhole)
                report(ViolationKind::RanPartly, "a finished job has no attempt in which all tasks finished");
        }

        bool hasFailedTask() const
        {
            for (const auto& [number, attempt] : history_.attempts_) {
                for (const auto& [index, task] : attempt) {
                    if (task.end_ == "failed")
                        return true;
                }
            }
            return false;
        }

        const SentJob& sent_;
        const JobHistory& history_;
        Violations& found_;
    };

    void auditJobs(const Evidence& evidence, const AuditLimits& limits, Violations& found)
    {
        const std::map<std::string, JobHistory> histories = jobHistories(evidence.log_);
        for (const SentJob& job : evidence.jobs_) {
            if (job.job_.empty())
                continue;
            const auto known = histories.find(job.job_);
            const JobHistory history = known == histories.end() ? JobHistory {} : known->second;
            JobAudit(job, history, found).run(limits, logEnd(evidence));
        }
    }

    void auditTakenOut(const Evidence& evidence, const AuditLimits& limits, Violations& found)
    {
        for (const TakenOut& out : evidence.takenOut_) {
            const Time last = std::min(out.done_, out.asked_ + limits.startAfterTakenOut_);
            for (const LogEntry& entry : evidence.log_) {
                if (entry.source_ != LogSource::Worker || entry.event_ != "started" || entry.dataCentre_ != out.dataCentre_)
                    continue;
                if (entry.at_ > last && entry.at_ < out.returned_)
                    found.push_back({ ViolationKind::StartAfterTakenOut, entry.field("job"), "a task started in " + out.dataCentre_ + " " + seconds(entry.at_ - out.asked_) + " after it was taken out", { describe(entry) } });
            }
        }
    }

    /** Tasks that went on in a data centre after operators were promised that they end. */
    void auditDrain(const Evidence& evidence, const AuditLimits& limits, Violations& found)
    {
        const Time end = logEnd(evidence);
        for (const TakenOut& out : evidence.takenOut_) {
            if (out.deadline_ >= Time::max() - limits.runAfterDeadline_ || out.returned_ < out.deadline_ + limits.runAfterDeadline_)
                continue;
            std::map<std::string, const LogEntry*> running;
            const Time last = out.deadline_ + limits.runAfterDeadline_;
            if (end <= last)
                continue;
            for (const LogEntry& entry : evidence.log_) {
                if (entry.source_ != LogSource::Worker || entry.dataCentre_ != out.dataCentre_ || entry.field("job").empty() || entry.at_ > last)
                    continue;
                const std::string task = entry.field("job") + "/" + entry.field("attempt") + "/" + entry.field("index");
                if (entry.event_ == "started")
                    running[task] = &entry;
                else if (entry.event_ != "prepared" && entry.event_ != "start_refused")
                    running.erase(task);
            }
            for (const auto& [task, started] : running)
                found.push_back({ ViolationKind::RunningAfterDeadline, task, "a task still ran in " + out.dataCentre_ + " " + seconds(limits.runAfterDeadline_) + " after the deadline for running work", { describe(*started) } });
        }
    }

    void auditLeavingMinions(const Evidence& evidence, const AuditLimits& limits, Violations& found)
    {
        std::map<std::string, Time> leaving;
        for (const LogEntry& entry : evidence.log_) {
            if (entry.source_ != LogSource::Minion)
                continue;
            if (entry.event_ == "leaving")
                leaving.emplace(entry.instance_, entry.at_);
            const auto left = leaving.find(entry.instance_);
            if (entry.event_ == "received" && left != leaving.end() && entry.at_ > left->second + limits.workAfterLeaving_)
                found.push_back({ ViolationKind::WorkToLeavingMinion, entry.instance_, "new work came " + seconds(entry.at_ - left->second) + " after the minion said that it leaves", { describe(entry) } });
        }
    }

    void auditConfiguration(const Evidence& evidence, Violations& found)
    {
        std::map<std::string, ShownConfiguration> newest;
        for (const ShownConfiguration& shown : evidence.shown_) {
            const auto [known, isFirst] = newest.emplace(shown.instance_, shown);
            const std::string here = "version " + std::to_string(shown.version_) + " was in force";
            if (!isFirst && shown.version_ < known->second.version_)
                found.push_back({ ViolationKind::ConfigurationReverted, shown.instance_, here + " after version " + std::to_string(known->second.version_), {} });
            known->second = shown;
            for (const AcceptedConfiguration& accepted : evidence.accepted_) {
                if (shown.version_ < accepted.version_ && shown.asked_ > accepted.accepted_)
                    found.push_back({ ViolationKind::ConfigurationReverted, shown.instance_, here + " after version " + std::to_string(accepted.version_) + " was accepted", {} });
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
    Violations found;
    if (evidence.droppedLogEntries_)
        found.push_back({ ViolationKind::IncompleteLog, "logs", std::to_string(evidence.droppedLogEntries_) + " entries are missing; shorten the run", {} });
    auditRequests(evidence, found);
    auditJobs(evidence, limits, found);
    auditTakenOut(evidence, limits, found);
    auditDrain(evidence, limits, found);
    auditLeavingMinions(evidence, limits, found);
    auditConfiguration(evidence, found);
    return found;
}

}
