#include "soaktestbed.h"

#include "callerdraw.h"
#include "server/configurationwriter.h"

#include <algorithm>
#include <boost/system/system_error.hpp>
#include <fstream>
#include <utility>

namespace fescuecleat::soak {

using Json = nlohmann::json;

namespace {

    constexpr Duration startLimit = std::chrono::seconds(15);
    constexpr Duration controlTimeout = std::chrono::seconds(5);
    constexpr Duration probeInterval = std::chrono::milliseconds(200);
    constexpr Duration probeTimeout = std::chrono::seconds(1);
    constexpr Duration heartbeat = std::chrono::milliseconds(1500);
    constexpr Duration maxLease = std::chrono::seconds(6);

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}

bool runUntil(boost::asio::io_context& loop, Time deadline, const std::function<bool()>& condition)
{
    constexpr Duration longestStep = std::chrono::milliseconds(50);
    while (!condition()) {
        const Time now = monotonicNow();
        if (now >= deadline)
            return false;
        if (loop.stopped())
            loop.restart();
        loop.run_one_for(std::min(longestStep, remaining(deadline, now)));
    }
    return true;
}

SoakTestbed::SoakTestbed(boost::asio::io_context& loop, AsyncHttpClient& client, Settings settings, ChildProcess::Report report)
    : loop_(loop)
    , client_(client)
    , settings_(std::move(settings))
    , report_(std::move(report))
{
}

void SoakTestbed::start()
{
    const int maxInstances = (WorkerPorts - InstancePorts) / PortsPerInstance;
    if (settings_.size_.instances_ < 1 || settings_.size_.instances_ > maxInstances)
        throw TestbedError("the number of instances lies outside 1 to " + std::to_string(maxInstances));
    try {
        for (int index = 0; index < settings_.size_.instances_; ++index) {
            storeLinks_.push_back(std::make_unique<LoopbackProxy>(loop_, address(index, StoreLinkPort), address(StorePort)));
            callerLinks_.push_back(std::make_unique<LoopbackProxy>(loop_, address(index, CallerLinkPort), address(index, CallerPort)));
        }
        startStandIn();
        for (int index = 0; index < settings_.size_.instances_; ++index)
            startInstance(index);
    } catch (const boost::system::system_error& error) {
        throw TestbedError(std::string("a proxy can't listen: ") + error.what());
    } catch (const std::system_error& error) {
        throw TestbedError(std::string("a program can't be started: ") + error.what());
    }
    std::size_t unreadyCount = 0;
    probeAll(monotonicNow() + startLimit, [&unreadyCount](const std::set<int>& unready) {
        unreadyCount = unready.size();
        return unready.empty();
    });
    if (unreadyCount > 0)
        throw TestbedError(std::to_string(unreadyCount) + " instances aren't ready " + std::to_string(wholeMilliseconds(startLimit)) + " ms after the start; see the logs in " + settings_.folder_);
}

void SoakTestbed::probeAll(Time deadline, const std::function<bool(const std::set<int>& unready)>& condition)
{
    // Answers may come after the return.
    const auto unready = std::make_shared<std::set<int>>();
    for (int index = 0; index < settings_.size_.instances_; ++index)
        unready->insert(index);
    Time nextProbe {};
    runUntil(loop_, deadline, [&] {
        if (monotonicNow() >= nextProbe) {
            nextProbe = monotonicNow() + probeInterval;
            for (const int index : *unready) {
                probe(index, [unready, index](bool isReady) {
                    if (isReady)
                        unready->erase(index);
                });
            }
        }
        return condition(*unready);
    });
}

void SoakTestbed::startStandIn()
{
    const Json settings {
        { "seed", settings_.seed_ },
        { "store", toString(address(StorePort)) },
        { "control", toString(address(ControlPort)) },
        { "workers", { { "host", address(0).address_ }, { "firstPort", settings_.firstPort_ + WorkerPorts }, { "count", settings_.size_.workers_ }, { "perRack", 8 }, { "dataCentres", dataCentres }, { "service", services.front() }, { "cpuMillis", 64000 }, { "memoryMb", 256000 }, { "accelerators", 8 } } },
        { "heartbeatMs", wholeMilliseconds(heartbeat) },
        { "maxLeaseMs", wholeMilliseconds(maxLease) },
        { "runTimeFactor", 1.0 },
        { "deadlyPayload", CallerDraw::deadlyPayload },
    };
    standIn_ = std::make_unique<ChildProcess>(loop_, ChildProcess::Command { "stand-in", settings_.bin_ + "/fescuecleat-standin-pool", { "--settings", write("stand-in", settings) }, logFile("stand-in") }, report_);
    standIn_->start();
    const auto isReady = std::make_shared<bool>(false); // answers may come after the return
    Time nextCall {};
    const bool answers = runUntil(loop_, monotonicNow() + startLimit, [&] {
        if (!*isReady && monotonicNow() >= nextCall) {
            nextCall = monotonicNow() + std::chrono::milliseconds(100);
            client_.call(address(ControlPort), "start", { "GET", "/audit", { { "Connection", "close" } }, "" }, probeTimeout, lifetime_.guard([isReady](const tl::expected<HttpAnswer, HttpFailure>& answer) {
                *isReady = *isReady || (answer && answer->status_ == 200);
            }));
        }
        return *isReady || !standIn_->isRunning();
    });
    if (!answers || !*isReady)
        throw TestbedError("the stand-in doesn't answer; see " + logFile("stand-in"));
    int confirmed = 0;
    const auto count = [&confirmed](const Json& answer) { confirmed += answer.is_null() ? 0 : 1; };
    control("PUT", "/configuration", Json::parse(encodeConfiguration(baseConfiguration())), count);
    if (!runUntil(loop_, monotonicNow() + startLimit, [&confirmed] { return confirmed == 1; }))
        throw TestbedError("the stand-in doesn't accept the configuration");
    for (int worker = 0; worker < settings_.size_.workers_; ++worker) {
        if (firstService(worker) != services.front())
            restartWorker(worker, Milliseconds(1), firstLabel(worker), firstService(worker));
    }
}

void SoakTestbed::startInstance(int index)
{
    const std::string name = "i" + std::to_string(index);
    auto child = std::make_unique<ChildProcess>(loop_, ChildProcess::Command { name, settings_.bin_ + "/fescuecleat-poold", { "--settings", write(name, instanceSettings(index)) }, logFile(name) }, report_);
    child->start();
    instances_.push_back(std::move(child));
}

nlohmann::json SoakTestbed::instanceSettings(int index) const
{
    return {
        { "instance", "i" + std::to_string(index) },
        { "dataCentre", dataCentres[static_cast<std::size_t>(index) % dataCentres.size()] },
        { "callers", toString(address(index, CallerPort)) },
        { "readiness", toString(address(index, ReadinessPort)) },
        { "peers", toString(address(index, PeerPort)) },
        { "store", toString(address(index, StoreLinkPort)) },
        { "processorShare", 1.0 },
        { "maxWorkerLeaseSeconds", inSeconds(maxLease) },
        { "revocationLimitSeconds", inSeconds(revocationLimit) },
        { "stopLimitSeconds", inSeconds(stopLimit) },
    };
}

void SoakTestbed::control(const std::string& method, const std::string& target, const Json& body, std::function<void(const Json&)> done)
{
    // A call on a connection that the peer has just closed would fail for no fault of the stand-in.
    HttpCall call { method, target, { { "Connection", "close" } }, body.is_null() ? std::string() : body.dump() };
    client_.call(address(ControlPort), "control", std::move(call), controlTimeout, lifetime_.guard([this, method, target, done = std::move(done)](const tl::expected<HttpAnswer, HttpFailure>& answer) {
        const bool succeeded = answer && answer->status_ == 200;
        if (!succeeded)
            report_("CONTROL " + method + " " + target + ": " + (answer ? std::to_string(answer->status_) + " " + answer->body_ : std::string("no answer")));
        if (!done)
            return;
        Json content = succeeded ? Json::parse(answer->body_, nullptr, false) : Json();
        if (content.is_discarded())
            content = succeeded ? Json::object() : Json();
        done(content);
    }));
}

void SoakTestbed::askIfScheduler(int instance, std::function<void()> isScheduler)
{
    client_.call(address(instance, PeerPort), "probe", { "GET", "/metrics", { { "Connection", "close" } }, "" }, probeTimeout, lifetime_.guard([isScheduler = std::move(isScheduler)](const tl::expected<HttpAnswer, HttpFailure>& answer) {
        if (answer && answer->body_.find("fescuecleat_is_scheduler 1\n") != std::string::npos)
            isScheduler();
    }));
}

void SoakTestbed::probe(int instance, std::function<void(bool)> done)
{
    client_.call(address(instance, ReadinessPort), "probe", { "GET", "/", { { "Connection", "close" } }, "" }, probeTimeout, lifetime_.guard([done = std::move(done)](const tl::expected<HttpAnswer, HttpFailure>& answer) {
        done(answer && answer->status_ == 200);
    }));
}

Time SoakTestbed::workerUpAt(int worker) const
{
    const auto found = workersUpAt_.find(worker);
    return found == workersUpAt_.end() ? Time {} : found->second;
}

void SoakTestbed::restartWorker(int worker, Milliseconds downtime, const std::string& label, const std::string& service)
{
    constexpr Duration margin = std::chrono::milliseconds(200);
    workersUpAt_[worker] = monotonicNow() + downtime + margin;
    Json body { { "worker", "w" + std::to_string(worker) }, { "downtimeMs", downtime.count() }, { "label", label } };
    if (!service.empty())
        body["service"] = service;
    control("POST", "/workers/restart", body);
}

std::vector<SocketAddress> SoakTestbed::callerAddresses() const
{
    std::vector<SocketAddress> addresses;
    addresses.reserve(static_cast<std::size_t>(settings_.size_.instances_));
    for (int index = 0; index < settings_.size_.instances_; ++index)
        addresses.push_back(address(index, CallerLinkPort));
    return addresses;
}

PoolConfiguration SoakTestbed::baseConfiguration()
{
    PoolConfiguration configuration;
    configuration.version_ = 1;
    for (int index = 0; index < queueCount; ++index) {
        QueueConfiguration queue;
        queue.name_ = "queue" + std::to_string(index);
        queue.host_ = "pool.example";
        queue.prefix_ = "/" + queue.name_;
        queue.service_ = services[index == 0 ? 1 : 0];
        queue.priority_ = index;
        queue.maxAttempts_ = 10;
        queue.stretch_ = 4;
        configuration.queues_.push_back(std::move(queue));
    }
    for (int index = 0; index < organisationCount; ++index) {
        const std::string name = "organisation" + std::to_string(index);
        configuration.organisations_.push_back({ name, { "key-" + name }, index == 0 ? 16 : 0 });
    }
    return configuration;
}

std::string SoakTestbed::firstLabel(int worker) { return worker % 2 == 0 ? "a" : "b"; }

std::string SoakTestbed::firstService(int worker) { return services[static_cast<std::size_t>(worker / 2 % 2)]; }

SocketAddress SoakTestbed::address(int port) const
{
    return { "127.0.0.1", static_cast<std::uint16_t>(settings_.firstPort_ + port) };
}

SocketAddress SoakTestbed::address(int instance, InstancePort port) const
{
    return address(InstancePorts + instance * PortsPerInstance + port);
}

std::string SoakTestbed::logFile(const std::string& name) const
{
    return settings_.folder_ + "/" + name + ".log";
}

std::string SoakTestbed::write(const std::string& name, const Json& settings) const
{
    std::string path = settings_.folder_ + "/" + name + ".json";
    std::ofstream file(path);
    file << settings.dump(4) << "\n";
    if (!file.flush())
        throw TestbedError("can't write " + path);
    return path;
}

}
