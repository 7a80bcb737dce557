#pragma once

#include "minions.h"
#include "record.h"
#include "store.h"

#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/** An answer to a client; status 0 stands for no answer. */
struct CallResult {
    int status_ = 0;
    std::string body_;
};

/**
 * One service with its platform and some instances of the pool daemon, which run as
 * separate processes with the program of the deploy file and the settings of a small site.
 */
class Deployment {
public:
    struct Options {
        int instances_ = 3;
        int minions_ = 48;
        /** The configuration's routes: priority and attempts of each queue. */
        int attempts_ = 2;
        Minions::Settings minionSettings_;
        /** Fills the store before the first process starts. */
        std::function<void(Store&)> prepareStore_;
    };

    Deployment(std::string program, std::string folder, Record&, Options);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /** Starts everything; returns false if an instance isn't ready within 15 s. */
    bool start();
    void startInstance(std::size_t index);
    /** Whether the process has ended; its exit is written to the record once. */
    bool hasEnded(std::size_t index);
    std::size_t instances() const { return processes_.size(); }
    const std::string& nameOf(std::size_t index) const { return processes_.at(index).name_; }
    /** Sends SIGTERM, waits for the end of the process for the time that the platform grants, and starts it again. */
    void restartInstance(std::size_t index);
    /** The operator writes a new version that changes the routes' time limits. */
    void changeConfiguration();

    /** Starts a server beside the minions, on the thread of the platform; returns its address. */
    std::string addServer(Handler);
    /** Runs an action on the thread of the platform and waits for it. */
    void onPlatform(const std::function<void(Store&, Minions&)>&);

    /** A client's call to an instance, with the time limit that it names; it leaves after `leavesAfterMs`, or at the time limit. */
    CallResult call(std::size_t instance, const std::string& method, const std::string& queue, const std::string& job, const std::string& body = {}, int timeLimitMs = 3000, int leavesAfterMs = 0);
    /** Hands a job in, at one instance after the other until one accepts it; returns whether it was accepted. */
    bool submit(const std::string& queue, const JobPlan&, int estimateMs, const std::string& extra = {});
    std::string stateOf(const std::string& queue, const std::string& job);

    static std::string encodeJob(const JobPlan&, int estimateMs, const std::string& extra);

private:
    struct Process {
        std::string name_;
        std::string zone_;
        std::uint16_t callers_ = 0;
        std::uint16_t readiness_ = 0;
        std::uint16_t peers_ = 0;
        std::string settings_;
        pid_t id_ = -1;
    };

    Json configuration() const;
    static CallResult request(std::uint16_t port, const std::string& method, const std::string& target, const std::string& body, int timeLimitMs, int leavesAfterMs);

    std::string program_;
    std::string folder_;
    Record& record_;
    Options options_;
    asio::io_context loop_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    Store store_;
    Minions minions_;
    std::uint16_t storePort_ = 0;
    std::uint16_t sparePort_ = 0;
    std::unique_ptr<HttpServer> spareServer_;
    std::vector<std::uint16_t> minionPorts_;
    std::vector<Process> processes_;
    std::thread thread_;
    std::size_t next_ = 0;
    int configurationVersion_ = 3;
    int routeTimeoutMs_ = 3000;
};

/** What the arguments `PROGRAM FOLDER RECORD TROUBLE` of a case say. */
struct CaseArguments {
    std::string program_;
    std::string folder_;
    std::string record_;
    bool hasTrouble_ = true;
};

constexpr int ruleBroken = 1;
constexpr int ruleHeld = 0;
constexpr int couldNotRun = 2;

CaseArguments parseArguments(int argc, char** argv);
void sleepMs(int milliseconds);
std::string jobId(int number);

}
