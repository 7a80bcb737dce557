#pragma once

#include "base/time.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fescuecleat {

/** Counts for each job how many its organisation submitted within a window that ends with the job. */
class SubmissionRates {
public:
    void setWindow(Duration window) { window_ = window; }
    Duration window() const { return window_; }

    /** Jobs may be added in any order, as after a takeover. */
    void add(const std::string& organisation, const std::string& job, Time submittedAt);
    /**
     * Passes on the count of each job that was added since the last call, itself included. Submissions
     * that are older than two windows no longer count for jobs that are added later.
     */
    void assign(const std::function<void(const std::string& job, int submissions)>&, Time now);

private:
    /** The time and the job, which orders jobs of the same millisecond. */
    using Submission = std::pair<Time, std::string>;

    Duration window_ = std::chrono::seconds(5);
    std::map<std::string, std::vector<Submission>> submissions_;
    std::map<std::string, std::vector<Submission>> added_;
};

}
