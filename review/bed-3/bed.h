#pragma once

#include "net/asynchttpclient.h"
#include "net/asynchttpserver.h"
#include "net/timer.h"
#include "node/poolconfiguration.h"
#include "node/poolworkerclient.h"
#include "pool/pooljobstate.h"
#include "poolmodel/fakerowstore.h"
#include "server/callerrequests.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

/** Stand-ins of the platform, its workers and its clients for the review's scripts; the daemons are real processes. */
namespace bed {

using namespace fescuecleat;

/** What a task does on a worker. */
struct Behaviour {
    /** Time from the start, or from the gang's completion, to the end; none for a task that lasts. */
    std::optional<Duration> runTime_;
    EndReason end_ = EndReason::Done;
    /** Tasks that work only together; 1 for a task by itself. */
    int gangSize_ = 1;
};

/** A run as the workers carried it out. */
struct RunEvent {
    RunId run_;
    std::string worker_;
    Time startedAt_ {};
    std::optional<Time> endedAt_;
    /** How it ended; `lost` if its worker crashed. */
    std::string how_;
    /** An acknowledgement has reached its end, so that the worker has forgotten it. */
    bool isNoted_ = false;
};

class Bed;

/** A worker with its own clock, leases, fencing, barred runs and gangs, as the platform's pages describe it. */
class Worker {
public:
    struct Kind {
        std::string id_;
        std::string machine_;
        std::string label_;
        std::string rack_;
        Resources capacity_;
    };

    Worker(Bed&, Kind, SocketAddress);

    void start();
    /** Neither carries out nor answers anything from now on, and sends no heartbeats; its runs go on until their lease ends. */
    void goDark();
    /** The process ends: connections break, and everything that ran is lost. */
    void crash();
    /** Starts again under the same id and address; it knows nothing of before. */
    void restart();
    void tick();
    bool isIdle() const { return runs_.empty(); }
    bool isSound() const { return isUp_ && !isDark_; }
    bool hasRun(const std::string& job) const;
    const Kind& kind() const { return kind_; }
    std::size_t runCount() const;

    /** Ends runs before their time. */
    void endRuns(const std::function<bool(const RunId&)>& isMeant, EndReason);
    /** A call that gets no answer may be carried out seconds later: loses the next poll with this acknowledgement. */
    void loseNextPoll(std::int64_t acknowledgedEnds) { lostAcknowledgement_ = acknowledgedEnds; }
    bool hasLostPoll() const { return latePoll_.has_value(); }
    bool hasCarriedOutLatePoll() const { return isLatePollDone_; }
    void endGangMember(const RunId&, EndReason);
    void gangComplete(const RunId&, Time endsAt);

private:
    struct Run {
        RunId id_;
        Behaviour behaviour_;
        Time startedAt_ {};
        std::optional<Time> endsAt_;
        bool isComplete_ = false;
        std::size_t event_ = 0;
    };
    struct LongPoll {
        Time until_ {};
        AsyncHttpServer::Respond respond_;
    };

    void listen();
    void writeEntry();
    void handle(const ServerRequest&, const AsyncHttpServer::Respond&);
    void poll(const PollRequest&, const AsyncHttpServer::Respond&);
    tl::expected<StartAnswer, WorkerFailure> carryOut(const StartRequest&);
    tl::expected<void, WorkerFailure> carryOut(const StopRequest&);
    bool accepts(std::int64_t epoch);
    void extendLease(std::int64_t untilMs);
    std::int64_t clockMs() const;
    PoolWorkerReport report();
    void end(const TaskId&, EndReason);
    void answerPolls(bool all);
    void forgetEnds(std::int64_t upTo);
    void carryOutLatePoll();

    Bed& bed_;
    Kind kind_;
    SocketAddress address_;
    std::unique_ptr<AsyncHttpServer> server_;
    std::vector<std::unique_ptr<AsyncHttpServer>> formerServers_;
    std::vector<AsyncHttpServer::Respond> unanswered_;
    std::vector<LongPoll> polls_;
    bool isUp_ = false;
    bool isDark_ = false;
    Time bootedAt_ {};
    std::int64_t born_ = 0;
    std::int64_t epoch_ = 0;
    std::int64_t leaseUntilMs_ = 0;
    std::map<TaskId, Run> runs_;
    std::map<TaskId, int> barred_;
    std::vector<ReportedEnd> ends_;
    std::int64_t lastEnd_ = 0;
    /** The last end that was in an answer. */
    std::int64_t lastReported_ = 0;
    std::optional<std::int64_t> lostAcknowledgement_;
    std::optional<PollRequest> latePoll_;
    Time latePollSentAt_ {};
    bool isLatePollDone_ = false;
    std::uint64_t sequence_ = 0;
    Time nextHeartbeat_ {};
    Time lastHeartbeat_ {};
    bool isListed_ = false;
};

/** The store, the workers, the daemons and the record of one script. */
class Bed {
public:
    Bed(std::string caseFolder, std::string root);
    ~Bed();

    void addWorker(const Worker::Kind&);
    void setConfiguration(const PoolConfiguration&);
    void startDaemons(int count);
    /** Runs the loop until the time has passed or the condition holds; returns whether it does. */
    bool runUntil(Duration, const std::function<bool()>& = nullptr);
    bool awaitReady();

    /** Each sends one call, and calls back with the status (0 without an answer) and the body. */
    using Answer = std::function<void(int status, const std::string& body)>;
    void submit(std::size_t daemon, const std::string& job, const PoolJobSpec&, Answer);
    void askState(std::size_t daemon, const std::string& job, Answer);
    void countWaiting(std::size_t daemon, Answer);
    /** Submits and waits for the answer. */
    bool submitAndWait(const std::string& job, const PoolJobSpec&);
    std::optional<PoolJobState> stateOf(std::size_t daemon, const std::string& job);

    void record(const std::string& line);
    /** Ends the daemons and returns the exit code, which is also recorded. */
    int finish(int code, const std::string& verdict);

    Worker* workerOf(const std::string& job);
    const std::vector<RunEvent>& runs() const { return runs_; }
    bool hasBegun(const std::string& job) const;
    std::vector<std::unique_ptr<Worker>>& workers() { return workers_; }
    std::size_t daemons() const { return daemons_.size(); }

    std::function<Behaviour(const RunId&, const std::string& payload)> behaviour_;
    boost::asio::io_context loop_ { 1 };
    FakeRowStore store_;

private:
    friend class Worker;
    struct Daemon {
        pid_t pid_ = 0;
        SocketAddress callers_;
        SocketAddress readiness_;
        bool isReady_ = false;
    };

    std::uint16_t freePort();
    void listenAsStore();
    void handleStoreCall(const ServerRequest&, const AsyncHttpServer::Respond&);
    void tick();
    void call(const SocketAddress&, const std::string& group, HttpCall, Duration, Answer);
    void joinGang(Worker&, const RunId&, int size, Duration runTime);
    void leaveGang(const RunId&, bool isBroken);

    std::string folder_;
    std::string root_;
    std::string temporary_;
    std::ofstream record_;
    Time beganAt_;
    SocketAddress storeAddress_;
    AsyncHttpServer storeServer_;
    AsyncHttpClient client_;
    Timer tickTimer_;
    std::vector<std::unique_ptr<Worker>> workers_;
    std::vector<Daemon> daemons_;
    std::vector<RunEvent> runs_;
    std::set<std::uint16_t> ports_;
    callerrequests::Target target_;

    struct Gang {
        std::map<TaskId, Worker*> members_;
        int run_ = 0;
    };
    /** By job, occurrence, step and run. */
    std::map<std::string, Gang> gangs_;
};

}
