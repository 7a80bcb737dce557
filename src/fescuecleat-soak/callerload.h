#pragma once

#include "calleraudit.h"
#include "callerdraw.h"
#include "net/asynchttpclient.h"
#include "net/timer.h"
#include "node/lifetime.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace fescuecleat {

/**
 * Submits jobs, asks for their state and cancels some over connections that stay open, and checks the answers.
 * Times are those of bootTimeNow().
 */
class CallerLoad {
public:
    struct Settings {
        std::uint32_t seed_ = 1;
        double jobsPerSecond_ = 1;
        std::vector<CallerQueue> queues_;
    };

    CallerLoad(boost::asio::io_context&, AsyncHttpClient&, std::vector<SocketAddress> instances, Settings);
    ~CallerLoad();

    /** The configuration with the queues of the settings must be stored by now. */
    void start();
    void stopSubmitting();
    /** Withdraws or restores an API key: calls sent later than the limit after `confirmedAt` must be refused. */
    void keyWithdrawn(const std::string& key, Time confirmedAt);
    /** To be called before the configuration with the key is sent, since it may take effect at once. */
    void keyRestored(const std::string& key);
    /** To be called before the configuration without the queue is sent. */
    void queueLeaves(const std::string& name);
    /** Replaces the queues that are submitted to. Those without key continue to be called with their last one. */
    void configurationConfirmed(std::vector<CallerQueue>, Time confirmedAt);

    std::vector<std::string> violations() const { return audit_.violations(); }
    /** Accepted, uncancelled jobs whose last known state isn't final. */
    std::vector<std::string> openJobs() const;
    /** Ids of jobs of which every attempt was refused as not run. */
    std::vector<std::string> refusedJobs() const;
    nlohmann::json summary() const;

private:
    struct Submission;

    void scheduleNextJob();
    void submitNewJob();
    void sendSubmission(Submission&);
    void handleSubmission(Submission&, const CallerAnswer&);
    void follow(Submission&);
    void askState(Submission&);
    void sendCancellation(Submission&);
    void countWaiting();
    /** The job's queue with the key that is in use now or, at random, as it was when the job was submitted. */
    CallerQueue queueFor(const CallerJob&);
    /** Calls an instance other than the one called last, if there are several. */
    void call(CallerCallKind, Submission&, const CallerQueue&, std::function<void(const CallerAnswer&)>);
    void send(CallerCallKind, const CallerQueue&, const std::string& job, const std::string& body, std::size_t instance, std::function<void(const CallerAnswer&)>);
    std::size_t drawInstance(std::size_t other);

    AsyncHttpClient& client_;
    boost::asio::io_context& context_;
    std::vector<SocketAddress> instances_;
    double jobsPerSecond_;
    std::vector<CallerQueue> queues_;
    /** Jobs are drawn apart from calls, so that the times of answers don't change them. */
    CallerDraw jobDraw_;
    CallerDraw callDraw_;
    CallerAudit audit_;
    std::map<std::string, std::unique_ptr<Submission>> submissions_;
    /** Number of calls by status, or by why they have none. */
    std::map<std::string, std::uint64_t> callsByOutcome_;
    bool isSubmitting_ = false;
    Timer submitTimer_;
    Timer waitingTimer_;
    Lifetime lifetime_;
};

}
