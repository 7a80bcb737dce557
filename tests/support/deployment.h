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

/** Size of a deployment; instances, workers and minions are per data centre. */
struct DeploymentSize {
    int dataCentres_ = 1;
    int instances_ = 2;
    int workers_ = 2;
    int minions_ = 2;
};

/** One entry of a stand-in's log. */
struct LogEntry {
    std::int64_t timeUs_ = 0;
    std::string instance_;
    std::string event_;
    std::map<std::string, std::string> fields_;
};

/**
 * Real daemons with stand-ins for the platform, workers and minions. All run on
 * loopback and end with the test. Data centres are named dc-0, dc-1, ...; there
 * is one organisation, "survey", and one service, "desk".
 */
class Deployment {
public:
    explicit Deployment(const DeploymentSize& = {});
    ~Deployment();

    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /** Applies the configuration, which must be accepted, and waits until a job has run. */
    void configure();

    Process& daemon(int dataCentre, int instance) { return *daemons_.at(name(dataCentre, instance)); }
    /** Starts a daemon. One that replaces a killed daemon has the same name and addresses. */
    void startDaemon(int dataCentre, int instance);

    Address callerAddress(int dataCentre, int instance) const { return address(dataCentre, instance, 0); }
    Address operatorAddress(int dataCentre, int instance) const { return address(dataCentre, instance, 1); }

    /** Returns the instance that reports itself as the active scheduler of the data centre; -1 if none does. */
    int leaseHolder(int dataCentre);

    /** Sends a request with the organisation's key. A status of 0 means that no response came; the body then says why. */
    HttpResponse call(const Address&, const std::string& method, const std::string& path, const std::string& body = {}, const HttpHeaders& = {}, Duration timeout = std::chrono::seconds(5));
    /** Like call(), with the operator's key. */
    HttpResponse administer(const Address&, const std::string& method, const std::string& path, const std::string& body = {}, Duration timeout = std::chrono::seconds(10));

    /** Submits a job and returns its id; empty if it was not accepted. */
    std::string submit(const Address&, const std::string& body);
    /** Returns the response body of the latest submission. */
    const std::string& submissionAnswer() const { return submissionAnswer_; }
    /** Returns the state of a job; empty if the instance returns none. */
    std::string stateOf(const Address&, const std::string& job);
    /** Returns explanations of the jobs and the workers' log, for the message of a failed check. */
    std::string describe(const Address&, const std::vector<std::string>& jobs);
    /** Waits until all jobs have ended. Returns false if they didn't within `timeout`. */
    bool waitForEnd(const Address&, const std::vector<std::string>& jobs, Duration timeout);

    void setPlatformFaults(const std::string& faults);
    void setMinionFaults(int dataCentre, const std::string& faults);
    std::vector<LogEntry> workerLog(int dataCentre);
    std::vector<LogEntry> minionLog(int dataCentre);

private:
    static std::string name(int dataCentre, int instance) { return "dc-" + std::to_string(dataCentre) + "-" + std::to_string(instance); }
    Address address(int dataCentre, int instance, int offset) const;
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
