#pragma once

#include "http/httpclient.h"
#include "load/arrivalplan.h"
#include "load/balancer.h"
#include "load/evidence.h"
#include "load/testbed.h"

#include <condition_variable>
#include <mutex>
#include <queue>
#include <string>
#include <thread>
#include <vector>

namespace fescuecleat {

/** Simulates callers that submit jobs and poll their states until they end. */
class JobTracker {
public:
    /** Submits each job at its offset from `start`. */
    JobTracker(const Testbed&, HttpClient&, Balancer&, const std::vector<PlannedJob>&, Time start);
    ~JobTracker();
    JobTracker(const JobTracker&) = delete;
    JobTracker& operator=(const JobTracker&) = delete;

    /** Cancels a share, 0 to 1, of the accepted jobs that have not ended. */
    void cancelShare(double share);

    /** Number of jobs that have not ended, including those not yet submitted. */
    std::size_t openJobCount() const;

    /** Stops the threads, polls each open job a last time and returns all jobs. */
    std::vector<SentJob> finish();

private:
    /** When the job at this index is to be submitted or polled. */
    struct DueAction {
        Time at_;
        std::size_t jobIndex_;

        bool operator>(const DueAction& other) const { return at_ > other.at_; }
    };

    void runThread();
    void runAction(std::size_t job);
    void submit(std::size_t job);
    void poll(std::size_t job, bool isFinalPoll);
    void cancel(std::size_t job);
    tl::expected<HttpResponse, TransportError> call(std::size_t job, const std::string& method, const std::string& path, const std::string& body);
    void reschedule(std::size_t job, Duration after);
    SentJob snapshot(std::size_t job) const;
    template <typename Function>
    void update(std::size_t job, Function&&);

    const Testbed& testbed_;
    HttpClient& client_;
    Balancer& balancer_;
    const std::vector<PlannedJob>& plannedJobs_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopped_ = false;
    std::vector<SentJob> jobs_;
    std::priority_queue<DueAction, std::vector<DueAction>, std::greater<>> dueActions_;
    std::vector<std::thread> threads_;
};

}
