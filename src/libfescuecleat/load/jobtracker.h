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

/** Plays callers that submit jobs and ask for their state until they end. */
class JobTracker {
public:
    /** Jobs are submitted at their time after `start`. */
    JobTracker(const Testbed&, HttpClient&, Balancer&, const std::vector<PlannedJob>&, Time start);
    ~JobTracker();
    JobTracker(const JobTracker&) = delete;
    JobTracker& operator=(const JobTracker&) = delete;

    /** Cancels this share of the jobs that were accepted and have not ended. */
    void cancelWave(double share);

    /** Jobs that have not ended, counting those that are not submitted yet. */
    std::size_t openJobs() const;

    /** Stops asking, asks a last time for what has not ended, and returns all jobs. */
    std::vector<SentJob> finish();

private:
    struct Due {
        Time at_;
        std::size_t job_;

        bool operator>(const Due& other) const { return at_ > other.at_; }
    };

    void work();
    void act(std::size_t job);
    void submit(std::size_t job);
    void poll(std::size_t job, bool isLast);
    void cancel(std::size_t job);
    tl::expected<HttpResponse, TransportError> call(std::size_t job, const std::string& method, const std::string& path, const std::string& body);
    void again(std::size_t job, Duration after);
    SentJob copy(std::size_t job) const;
    template <typename Function>
    void change(std::size_t job, Function&&);

    const Testbed& testbed_;
    HttpClient& client_;
    Balancer& balancer_;
    const std::vector<PlannedJob>& planned_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopped_ = false;
    std::vector<SentJob> jobs_;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
    std::vector<std::thread> threads_;
};

}
