#pragma once

#include "net/timer.h"
#include "node/poolworkerclient.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** Workers in memory with fencing and runs, but without lease expiry; can lose requests or execute them late. */
class FakeWorkers : public PoolWorkerClient {
public:
    struct Worker {
        std::int64_t born_ = 1;
        std::int64_t epoch_ = 0;
        std::int64_t nextEndSequence_ = 1;
        std::map<TaskId, int> running_;
        /** Highest run number of each task that may no longer start. */
        std::map<TaskId, int> lastStoppedRuns_;
        std::vector<ReportedEnd> ended_;
        std::int64_t acknowledgedEnds_ = 0;
        bool isUnreachable_ = false;
        /** The newest poll, also if it got no answer. */
        PollRequest lastPoll_;
    };

    explicit FakeWorkers(boost::asio::io_context&);

    void poll(const WorkerInfo&, const PollRequest&, Duration timeout, PollHandler) override;
    void start(const WorkerInfo&, const StartRequest&, Duration timeout, StartHandler) override;
    void stop(const WorkerInfo&, const StopRequest&, Duration timeout, StopHandler) override;

    Worker& worker(const std::string& id) { return workers_[id]; }
    /** Ends a task's run and answers the waiting polls. */
    void finish(const std::string& id, const TaskId&, EndReason);
    /** Restarts the worker as a new incarnation without runs. */
    void restart(const std::string& id);
    /** Loses the answers of the next starts, which are executed at once, or by executeLateStarts() with `isLate`. */
    void loseStartAnswers(int count, bool isLate);
    /** Loses the next stops, or with `areExecuted` only their answers. */
    void loseStops(int count, bool areExecuted);
    /** Executes the late starts; returns how many runs started. */
    int executeLateStarts();
    /** Number of start requests received, including lost and repeated ones. */
    int startsSeen() const { return startsSeen_; }
    /** How often a task was started, on all workers. */
    int startCount(const TaskId& task) const;
    /** Whether two runs of one task ever existed at the same time. */
    bool hadOverlappingRuns() const { return hadOverlappingRuns_; }

private:
    struct LongPoll {
        std::string id_;
        PollHandler handler_;
        std::unique_ptr<Timer> timer_;
    };
    StartAnswer startRun(const std::string& id, const StartRequest&);
    PoolWorkerReport reportOf(const std::string& id);
    void answerLongPolls(const std::string& id);

    boost::asio::io_context& loop_;
    std::map<std::string, Worker> workers_;
    std::vector<std::shared_ptr<LongPoll>> longPolls_;
    std::vector<std::pair<std::string, StartRequest>> lateStarts_;
    std::map<TaskId, int> startCounts_;
    int stopsToLose_ = 0;
    bool areLostStopsExecuted_ = false;
    int startAnswersToLose_ = 0;
    bool areLostStartsLate_ = false;
    int startsSeen_ = 0;
    bool hadOverlappingRuns_ = false;
};

}
