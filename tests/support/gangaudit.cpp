#include "support/gangaudit.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace fescuecleat::test {

namespace {

    /** What the log says of one attempt. */
    struct Attempt {
        std::set<std::string> prepared_;
        std::set<std::string> started_;
        std::set<std::string> finished_;
        std::set<std::string> ended_;
        std::int64_t firstStart_ = std::numeric_limits<std::int64_t>::max();
        std::int64_t lastEnd_ = 0;
    };

    using Attempts = std::map<std::string, std::map<int, Attempt>>;

    bool isEnd(const std::string& event)
    {
        return event == "finished" || event == "failed" || event == "stopped" || event == "checkpointed";
    }

    Attempts attemptsOf(const std::vector<LogEntry>& log)
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
                attempt.firstStart_ = std::min(attempt.firstStart_, entry.timeMicros_);
            }
            if (entry.event_ == "finished")
                attempt.finished_.insert(index);
            if (isEnd(entry.event_)) {
                attempt.ended_.insert(index);
                attempt.lastEnd_ = std::max(attempt.lastEnd_, entry.timeMicros_);
            }
        }
        return jobs;
    }

}

std::vector<std::string> gangViolations(const std::vector<LogEntry>& log)
{
    std::vector<std::string> violations;
    for (const auto& [job, attempts] : attemptsOf(log)) {
        const Attempt* before = nullptr;
        for (const auto& [number, attempt] : attempts) {
            const std::string which = job + " attempt " + std::to_string(number);
            const bool isPartial = !attempt.started_.empty() && attempt.started_ != attempt.prepared_;
            if (isPartial && !attempt.finished_.empty())
                violations.push_back(which + ": a task finished though not all were started");
            if (before && attempt.firstStart_ < before->lastEnd_)
                violations.push_back(which + ": started before the attempt before had ended");
            if (before && !std::includes(before->ended_.begin(), before->ended_.end(), before->started_.begin(), before->started_.end()) && !attempt.started_.empty())
                violations.push_back(which + ": started while a task of the attempt before still ran");
            before = &attempt;
        }
    }
    return violations;
}

int startsOf(const std::vector<LogEntry>& log, const std::string& job, int index)
{
    return static_cast<int>(std::count_if(log.begin(), log.end(), [&](const LogEntry& entry) {
        return entry.event_ == "started" && entry.fields_.at("job") == job && entry.fields_.at("index") == std::to_string(index);
    }));
}

}
