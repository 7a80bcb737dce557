#include "pool/submissionrates.h"

#include <algorithm>

namespace fescuecleat {

void SubmissionRates::add(const std::string& organisation, const std::string& job, Time submittedAt)
{
    added_[organisation].emplace_back(submittedAt, job);
}

void SubmissionRates::assign(const std::function<void(const std::string& job, int submissions)>& handle, Time now)
{
    for (const auto& [organisation, added] : std::exchange(added_, {})) {
        std::vector<Submission>& all = submissions_[organisation];
        all.insert(all.end(), added.begin(), added.end());
        std::sort(all.begin(), all.end());
        for (const Submission& submission : added) {
            const auto first = std::upper_bound(all.begin(), all.end(), submission.first - window_, [](Time time, const Submission& other) { return time < other.first; });
            const auto last = std::upper_bound(first, all.end(), submission);
            handle(submission.second, static_cast<int>(last - first));
        }
    }
    for (auto entry = submissions_.begin(); entry != submissions_.end();) {
        std::vector<Submission>& all = entry->second;
        const auto kept = std::lower_bound(all.begin(), all.end(), now - 2 * window_, [](const Submission& other, Time time) { return other.first < time; });
        all.erase(all.begin(), kept);
        entry = all.empty() ? submissions_.erase(entry) : std::next(entry);
    }
}

}
