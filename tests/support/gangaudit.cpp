#include "support/gangaudit.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace fescuecleat::test {

namespace {

    /** Task indexes and times of one attempt, as logged. */
    struct Attempt {
        std::set<std::string> prepared_;
        std::set<std::string> started_;
        std::set<std::string> finished_;
        std::set<std::string> ended_;
        std::int64_t firstStartUs_ = std::numeric_limits<std::int64_t>::max();
        std::int64_t lastEndUs_ = 0;
    };

    using Attempts = std::map<std::string, std::map<int, Attempt>>;

    bool isEnd(const std::string& event)
    {
        return event == "finished" || event == "failed" || event == "stopped" || event == "checkpointed";
    }

    Attempts attemptsByJob(const std::vector<LogEntry>& log)
    {
        Attempts jobs;
        for (const LogEntry& entry : log) {
            const auto job = entry.fields_.find("job");
            if (job == entry.fields_.end())
                continue;
            Attempt& attempt = jobs[job->second][std::stoi(entry.fields_.at("attempt"))];
            const std::string& index = entry.fields_.at("index");
            if (entry.event_ == "prepared")
                attempt.prepared_.insert(index);
            if (entry.event_ == "started") {
                attempt.started_.insert(index);
                attempt.firstStartUs_ = std::min(attempt.firstStartUs_, entry.timeUs_);
            }
            if (entry.event_ == "finished")
                attempt.finished_.insert(index);
            if (isEnd(entry.event_)) {
                attempt.ended_.insert(index);
                attempt.lastEndUs_ = std::max(attempt.lastEndUs_, entry.timeUs_);
            }
        }
        return jobs;
    }

}

std::vector<std::string> gangViolations(const std::vector<LogEntry>& log)
{
    std::vector<std::string> violations;
    for (const auto& [job, attempts] : attemptsByJob(log)) {
        const Attempt* previous = nullptr;
        for (const auto& [number, attempt] : attempts) {
            const std::string attemptName = job + " attempt " + std::to_string(number);
            const bool isPartial = !attempt.started_.empty() && attempt.started_ != attempt.prepared_;
            if (isPartial && !attempt.finished_.empty())
                violations.push_back(attemptName + ": a task finished although not all tasks were started");
            if (previous && attempt.firstStartUs_ < previous->lastEndUs_)
                violations.push_back(attemptName + ": started before the previous attempt had ended");
            if (previous && !std::includes(previous->ended_.begin(), previous->ended_.end(), previous->started_.begin(), previous->started_.end()) && !attempt.started_.empty())
                violations.push_back(attemptName + ": started while a task of the previous attempt was still running");
            previous = &attempt;
        }
    }
    return violations;
}

int startCount(const std::vector<LogEntry>& log, const std::string& job, int index)
{
    return static_cast<int>(std::count_if(log.begin(), log.end(), [&](const LogEntry& entry) {
        return entry.event_ == "started" && entry.fields_.at("job") == job && entry.fields_.at("index") == std::to_string(index);
    }));
}

}
