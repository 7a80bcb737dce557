#pragma once

#include "httpserver.h"
#include "record.h"
#include "store.h"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

/** What the tasks of one step are like. */
struct StepPlan {
    int count_ = 1;
    bool isGang_ = false;
    bool isLongRunning_ = false;
    bool savesProgress_ = false;
    std::int64_t workMs_ = 1000;
    std::int64_t gpu_ = 1;
    std::int64_t cpu_ = 0;
    std::int64_t memMb_ = 0;
};

/** A job as it was handed in. */
struct JobPlan {
    std::string id_;
    std::string spec_;
    std::vector<StepPlan> steps_;
};

/** What a task of a job went through. */
struct TaskHistory {
    int starts_ = 0;
    int active_ = 0;
};

/**
 * Stand-ins of the minions of one service, as PROTOCOL.md describes them: each has an
 * address of its own, starts what it is told to start, and lists the ends until they are seen.
 */
class Minions {
public:
    struct Settings {
        std::string service_ = "rilievo";
        std::vector<std::string> zones_ { "catania", "palermo", "siracusa" };
        int count_ = 48;
        int perRack_ = 8;
        std::int64_t cpu_ = 64000;
        std::int64_t memMb_ = 262144;
        std::int64_t gpu_ = 8;
        std::int64_t holdMaxMs_ = 10000;
        std::int64_t stopMs_ = 100;
        std::int64_t gangMs_ = 3000;
        std::int64_t checkpointMs_ = 500;
        std::int64_t heartbeatMs_ = 1500;
    };

    Minions(asio::io_context&, Store&, Record&, Settings);
    ~Minions();

    /** Starts the minions on these ports and registers them. */
    void start(const std::vector<std::uint16_t>& ports);
    void addJob(const JobPlan& job) { jobs_[job.id_] = job; }

    static std::string idOf(std::size_t minion) { return "i-" + std::to_string(1000 + minion); }
    const std::map<std::string, TaskHistory>& history() const { return history_; }
    /** Accelerators that active runs occupy. */
    std::int64_t acceleratorsInUse() const;
    std::int64_t accelerators() const { return settings_.gpu_ * static_cast<std::int64_t>(minions_.size()); }

private:
    struct Run {
        int number_ = 0;
        std::int64_t startedMs_ = 0;
        /** When the work began; -1 while members of the gang are missing. */
        std::int64_t workBeganMs_ = -1;
        std::int64_t doneBeforeMs_ = 0;
        std::int64_t stopsAtMs_ = -1;
    };
    struct End {
        std::int64_t number_ = 0;
        std::string task_;
        int run_ = 0;
        std::string how_;
        std::string saved_;
    };
    struct Poll {
        std::int64_t untilMs_ = 0;
        std::int64_t seenEnds_ = 0;
        Respond respond_;
    };
    struct Minion {
        std::string id_;
        std::string zone_;
        std::string rack_;
        std::uint16_t port_ = 0;
        std::unique_ptr<HttpServer> server_;
        std::int64_t bornUnixMs_ = 0;
        std::int64_t bootedMs_ = 0;
        std::int64_t fence_ = 0;
        std::int64_t leaseUntilMs_ = 0; // on the minion's clock
        std::int64_t nextEnd_ = 1;
        std::map<std::string, Run> runs_;
        std::map<std::string, int> barred_;
        std::list<End> ends_;
        std::list<Poll> polls_;
        std::int64_t seq_ = 0;
        std::int64_t nextBeatMs_ = 0;
    };

    void open(Minion&);
    void beat(Minion&);
    void handle(Minion&, const Request&, const Respond&);
    Answer startRun(Minion&, const Json&);
    Answer stopRun(Minion&, const Json&);
    void hold(Minion&, const Json&, const Respond&);
    bool acceptFence(Minion&, const Json&);
    void extendLease(Minion&, const Json&);
    Json report(const Minion&) const;
    Answer answer(const Minion&, int status, Json body) const;
    void answerPolls(Minion&);
    void endRun(Minion&, const std::string& task, const std::string& how);
    void beginGang(const std::string& task, int run);
    void endMembers(const std::string& task, int run, const std::string& how);
    const StepPlan* stepOf(const std::string& task) const;
    std::int64_t workDoneMs(const Run&, const StepPlan&) const;
    std::int64_t clockMs(const Minion& minion) const { return elapsedMs() - minion.bootedMs_ + 1; }
    void tick();

    asio::io_context& loop_;
    Store& store_;
    Record& record_;
    Settings settings_;
    asio::steady_timer timer_;
    std::vector<std::unique_ptr<Minion>> minions_;
    std::map<std::string, JobPlan> jobs_;
    std::map<std::string, TaskHistory> history_;
    /** Progress that a checkpoint stands for. */
    std::map<std::string, std::int64_t> checkpoints_;
};

/** The step of a task: its name without the index. */
std::string stepName(const std::string& task);

}
