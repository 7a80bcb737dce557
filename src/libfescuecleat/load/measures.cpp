#include "load/measures.h"

#include "load/completionhistogram.h"
#include "load/jobhistory.h"
#include "load/usagereplay.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    void addQuantiles(Measures& values, const std::string& name, const CompletionHistogram& histogram)
    {
        if (!histogram.count())
            return;
        values[name + "_p50_seconds"] = histogram.quantile(0.5);
        values[name + "_p90_seconds"] = histogram.quantile(0.9);
        values[name + "_p99_seconds"] = histogram.quantile(0.99);
    }

    void measureRequests(const RepeatRecord& record, RepeatMeasures& measures)
    {
        CompletionHistogram all;
        CompletionHistogram lateness;
        std::map<std::string, CompletionHistogram> byKind;
        std::map<SentOutcome, int> outcomes;
        std::map<int, int> answeredBySecond;
        for (const SentRequest& request : record.evidence_.requests_) {
            ++outcomes[request.outcome_];
            if (request.sentAt_ > Time(Duration::zero()))
                lateness.record(std::max(Duration(1), request.sentAt_ - request.intendedAt_));
            if (request.outcome_ != SentOutcome::Answered)
                continue;
            all.record(request.endedAt_ - request.intendedAt_);
            byKind[request.kind_].record(request.endedAt_ - request.intendedAt_);
            ++answeredBySecond[static_cast<int>((request.endedAt_ - record.start_) / std::chrono::seconds(1))];
        }
        const auto sent = static_cast<double>(record.evidence_.requests_.size());
        measures.values_["requests_sent"] = sent;
        for (const SentOutcome outcome : { SentOutcome::Answered, SentOutcome::NotRun, SentOutcome::Unknown, SentOutcome::Cut, SentOutcome::Refused })
            measures.values_[std::string("requests_") + sentOutcomeName(outcome) + "_share"] = sent > 0 ? outcomes[outcome] / sent : 0;
        addQuantiles(measures.values_, "request_completion", all);
        for (const auto& [kind, histogram] : byKind)
            addQuantiles(measures.values_, "request_completion_" + kind, histogram);
        if (lateness.count())
            measures.values_["tool_lateness_p99_seconds"] = lateness.quantile(0.99);
        Series& series = measures.series_["requests answered in each second"];
        for (const auto& [second, count] : answeredBySecond)
            series.emplace_back(second, count);
    }

    void measureJobs(const RepeatRecord& record, RepeatMeasures& measures)
    {
        CompletionHistogram completion;
        CompletionHistogram gangs;
        CompletionHistogram urgentStart;
        std::map<std::string, int> states;
        int accepted = 0;
        const std::map<std::string, JobHistory> histories = jobHistories(record.evidence_.log_);
        for (const SentJob& job : record.evidence_.jobs_) {
            ++states[job.state_];
            accepted += job.jobId_.empty() ? 0 : 1;
            if (job.state_ == "finished") {
                completion.record(job.endedAt_ - job.intendedAt_);
                if (job.tasks_ > 1)
                    gangs.record(job.endedAt_ - job.intendedAt_);
            }
            const auto history = histories.find(job.jobId_);
            if (job.isUrgent_ && history != histories.end() && !history->second.attempts_.empty() && hasStarted(history->second.attempts_.begin()->second))
                urgentStart.record(firstStart(history->second.attempts_.begin()->second) - job.intendedAt_);
        }
        measures.values_["jobs_sent"] = static_cast<double>(record.evidence_.jobs_.size());
        measures.values_["jobs_accepted"] = accepted;
        for (const char* const state : { "finished", "failed", "cancelled", "refused" })
            measures.values_[std::string("jobs_") + state] = states[state];
        addQuantiles(measures.values_, "job_completion", completion);
        addQuantiles(measures.values_, "gang_completion", gangs);
        addQuantiles(measures.values_, "urgent_start", urgentStart);
    }

}

bool isHigherBetter(const std::string& measure)
{
    for (const char* const part : { "answered_share", "jobs_finished", "jobs_accepted", "work_finished", "accelerators_taken" }) {
        if (measure.find(part) != std::string::npos)
            return true;
    }
    return false;
}

RepeatMeasures measure(const Testbed& testbed, const RepeatRecord& record)
{
    RepeatMeasures measures;
    measureRequests(record, measures);
    measureJobs(record, measures);
    UsageReplay replay(testbed, record.start_, record.end_);
    for (const LogEntry& entry : record.evidence_.log_)
        replay.apply(entry);
    replay.finish(measures);
    return measures;
}

}
