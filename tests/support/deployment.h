#pragma once

#include "auth/keyhash.h"
#include "http/httpmessage.h"
#include "support/process.h"
#include "json/json.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fescuecleat::test {

/** Size of a deployment under test. */
struct DeploymentSize {
    int dataCentres_ = 1;
    int instances_ = 2;
    int workers_ = 2;
    int minions_ = 2;
};

/** One entry of a stand-in's log. */
struct LogEntry {
    std::int64_t timeMicros_ = 0;
    std::string instance_;
    std::string event_;
    std::map<std::string, std::string> fields_;
};

/**
 * Real daemons with the platform, workers and minions as stand-ins, all on
 * loopback and all ended with the test. Data centres are named dc-0, dc-1, ...;
 * there is one organisation, "survey", and one service, "desk".
 */
class Deployment {
public:
    explicit Deployment(const DeploymentSize& = {});
    ~Deployment();

    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /** Applies the configuration and waits until it is accepted and a job can run. */
    void configure();

    Process& daemon(int dataCentre, int instance) { return *daemons_.at(name(dataCentre, instance)); }
    /** Starts a daemon again under its old name, as a replacement does. */
    void startDaemon(int dataCentre, int instance);

    Address caller(int dataCentre, int instance) const { return address(dataCentre, instance, 0); }
    Address operatorEdge(int dataCentre, int instance) const { return address(dataCentre, instance, 1); }

    /** The instance that holds the lease of the data centre; -1 if none says so. */
    int holder(int dataCentre);

    /** Sends as the organisation; a status of 0 means that no answer came. */
    HttpResponse call(const Address&, const std::string& method, const std::string& path, const std::string& body = {}, const HttpHeaders& = {}, Duration time = std::chrono::seconds(5));
    /** Sends as an operator. */
    HttpResponse administer(const Address&, const std::string& method, const std::string& path, const std::string& body = {}, Duration time = std::chrono::seconds(10));

    /** Submits and returns the job's id; empty if it was not accepted. */
    std::string submit(const Address&, const std::string& body);
    /** What the newest submission was answered. */
    const std::string& submissionAnswer() const { return submissionAnswer_; }
    /** The state of a job; empty if nothing is known. */
    std::string stateOf(const Address&, const std::string& job);
    /** Everything that the system says of the jobs, for the message of a failed check. */
    std::string describe(const Address&, const std::vector<std::string>& jobs);
    /** Waits until each job has ended; false if the time is up. */
    bool waitForEnd(const Address&, const std::vector<std::string>& jobs, Duration longest);

    void setPlatformFaults(const std::string& faults);
    void setMinionFaults(int dataCentre, const std::string& faults);
    std::vector<LogEntry> workerLog(int dataCentre);
    std::vector<LogEntry> minionLog(int dataCentre);

private:
    static std::string name(int dataCentre, int instance) { return "dc-" + std::to_string(dataCentre) + "-" + std::to_string(instance); }
    Address address(int dataCentre, int instance, int edge) const;
    void startDataCentre(int dataCentre);
    void post(const Address&, const std::string& path, const std::string& body);
    std::vector<LogEntry> log(const Address&);
    JsonValue configuration() const;

    DeploymentSize size_;
    unsigned short firstPort_ = 0;
    std::string folder_;
    NewKey organisationKey_;
    NewKey operatorKey_;
    CxxtoolsHttpClient client_;
    std::string submissionAnswer_;
    std::unique_ptr<Process> platform_;
    std::vector<std::unique_ptr<Process>> standins_;
    std::map<std::string, std::unique_ptr<Process>> daemons_;
};

}
