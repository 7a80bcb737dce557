#pragma once

#include "childprocess.h"
#include "loopbackproxy.h"
#include "net/asynchttpclient.h"
#include "node/poolconfiguration.h"
#include "soakschedule.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace fescuecleat::soak {

/** Thrown when a run can't take place, for a cause outside the instances. */
struct TestbedError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/** Runs the loop until the condition holds or the deadline has passed; false in the latter case. */
bool runUntil(boost::asio::io_context&, Time deadline, const std::function<bool()>& condition);

/** The processes of one run on loopback: the stand-in of the platform, and instances behind proxies. */
class SoakTestbed {
public:
    struct Settings {
        SoakSize size_;
        std::uint32_t seed_ = 0;
        /** Folder of the programs. */
        std::string bin_;
        /** Folder for settings and logs. */
        std::string folder_;
        int firstPort_ = 0;
    };

    /** Time in which an instance must exit after SIGTERM. */
    static constexpr Duration stopLimit = std::chrono::seconds(10);
    /** Time in which a withdrawn key must be refused. */
    static constexpr Duration revocationLimit = std::chrono::seconds(5);

    SoakTestbed(boost::asio::io_context&, AsyncHttpClient&, Settings, ChildProcess::Report);

    /** Starts everything and applies the first configuration. Throws TestbedError. */
    void start();

    /** Calls the stand-in's control interface; a failure is reported and passed on as null. */
    void control(const std::string& method, const std::string& target, const nlohmann::json& body, std::function<void(const nlohmann::json&)> done = {});
    /** Passes on whether the instance's readiness probe succeeds. */
    void probe(int instance, std::function<void(bool)> done);
    /** Calls back if the instance answers that it schedules. */
    void askIfScheduler(int instance, std::function<void()> isScheduler);
    /** Probes all instances until the condition holds, which gets those that haven't been ready yet, or the deadline has passed. */
    void probeAll(Time deadline, const std::function<bool(const std::set<int>& unready)>& condition);
    /** When a worker that was restarted is up again; it can't be restarted before. */
    Time workerUpAt(int worker) const;
    /** An empty service leaves the worker's as it is. */
    void restartWorker(int worker, Milliseconds downtime, const std::string& label, const std::string& service);

    const SoakSize& size() const { return settings_.size_; }
    ChildProcess& instance(int index) { return *instances_[static_cast<std::size_t>(index)]; }
    LoopbackProxy& storeLink(int index) { return *storeLinks_[static_cast<std::size_t>(index)]; }
    LoopbackProxy& callerLink(int index) { return *callerLinks_[static_cast<std::size_t>(index)]; }
    /** Addresses at which callers reach the instances, through the proxies. */
    std::vector<SocketAddress> callerAddresses() const;
    /** The configuration without changes, with version 1. */
    static PoolConfiguration baseConfiguration();
    static std::string firstLabel(int worker);
    /** Half of the workers of each label have the second service. */
    static std::string firstService(int worker);

private:
    /** Ports of the testbed, from its first port on. */
    enum Port { StorePort,
        ControlPort,
        InstancePorts = 10,
        WorkerPorts = 200 };
    enum InstancePort { CallerPort,
        ReadinessPort,
        PeerPort,
        CallerLinkPort,
        StoreLinkPort,
        PortsPerInstance };

    SocketAddress address(int port) const;
    SocketAddress address(int instance, InstancePort) const;
    std::string logFile(const std::string& name) const;
    std::string write(const std::string& name, const nlohmann::json&) const;
    void startStandIn();
    void startInstance(int index);
    nlohmann::json instanceSettings(int index) const;

    boost::asio::io_context& loop_;
    AsyncHttpClient& client_;
    Settings settings_;
    ChildProcess::Report report_;
    std::vector<std::unique_ptr<LoopbackProxy>> storeLinks_;
    std::vector<std::unique_ptr<LoopbackProxy>> callerLinks_;
    std::unique_ptr<ChildProcess> standIn_;
    std::vector<std::unique_ptr<ChildProcess>> instances_;
    std::map<int, Time> workersUpAt_;
    Lifetime lifetime_;
};

}
