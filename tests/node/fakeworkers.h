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

/** Workers in memory: fences, leases in name, runs, ends, and orders that get lost or are carried out late. */
class FakeWorkers : public PoolWorkerClient {
public:
    struct Worker {
        std::int64_t born_ = 1;
        std::int64_t fence_ = 0;
        std::int64_t nextEnd_ = 1;
        std::map<TaskId, int> running_;
        std::map<TaskId, int> barred_;
        std::vector<ReportedEnd> ended_;
        std::int64_t seenEnds_ = 0;
        bool isCut_ = false;
    };

    explicit FakeWorkers(boost::asio::io_context&);

    void hold(const WorkerInfo&, const HoldOrder&, Duration timeLimit, HoldHandler) override;
    void start(const WorkerInfo&, const StartOrder&, Duration timeLimit, StartHandler) override;
    void stop(const WorkerInfo&, const StopOrder&, Duration timeLimit, StopHandler) override;

    Worker& worker(const std::string& id) { return workers_[id]; }
    /** The run ends, and whoever looks is told. */
    void finish(const std::string& id, const TaskId&, EndReason);
    /** The worker loses everything and begins a new life. */
    void reborn(const std::string& id);
    /** The next starts get no answer; with `isLate` they are carried out by carryOutLate(), otherwise at once. */
    void loseStartAnswers(int count, bool isLate);
    /** Carries late starts out; says how many runs began. */
    int carryOutLate();
    /** Starts that arrived, lost answers and repeats included. */
    int startsSeen() const { return startsSeen_; }
    /** How often a task was begun, over all workers. */
    int beginsOf(const TaskId& task) const;
    /** Two runs of one task were present at once. */
    bool hasRunTwice() const { return hasRunTwice_; }

private:
    struct Waiter {
        std::string id_;
        HoldHandler handler_;
        std::unique_ptr<Timer> timer_;
    };
    StartAnswer begin(const std::string& id, const StartOrder&);
    PoolWorkerReport reportOf(const std::string& id);
    void answerWaiters(const std::string& id);

    boost::asio::io_context& loop_;
    std::map<std::string, Worker> workers_;
    std::vector<std::shared_ptr<Waiter>> waiters_;
    std::vector<std::pair<std::string, StartOrder>> late_;
    std::map<TaskId, int> begins_;
    int startAnswersToLose_ = 0;
    bool losesLate_ = false;
    int startsSeen_ = 0;
    bool hasRunTwice_ = false;
};

}
