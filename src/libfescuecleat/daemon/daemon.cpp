#include "daemon/daemon.h"

#include "control/configurationcontrol.h"
#include "control/datacentrecontrol.h"
#include "control/leaseservice.h"
#include "daemon/callerhandler.h"
#include "daemon/configurationwatcher.h"
#include "daemon/datacentrescheduler.h"
#include "daemon/identitysource.h"
#include "daemon/jobexplanations.h"
#include "daemon/jobservice.h"
#include "daemon/operatorhandler.h"
#include "daemon/peercoordinator.h"
#include "daemon/wallclock.h"
#include "http/cxxtoolshttpclient.h"
#include "http/httpserver.h"
#include "membership/membershipservice.h"
#include "platform/httpinstancelist.h"
#include "platform/httpobjectstore.h"
#include "platform/httptable.h"
#include "routing/requestrouter.h"
#include "routing/slotsharing.h"
#include "state/retention.h"
#include "telemetry/log.h"
#include "worker/httpworkerclient.h"

#include <atomic>
#include <stdexcept>
#include <thread>

namespace fescuecleat {

namespace {

    constexpr Duration instancePollTime = std::chrono::milliseconds(500);
    constexpr Duration confirmPollTime = std::chrono::milliseconds(100);
    constexpr Duration retentionTime = std::chrono::minutes(1);
    constexpr Duration stopPollTime = std::chrono::milliseconds(10);
    /** A new instance is not ready for want of slots for this long at most; then it borrows. */
    constexpr Duration joinTime = std::chrono::seconds(5);
    constexpr Duration storeTime = std::chrono::seconds(2);
    constexpr Duration handOverTime = std::chrono::seconds(2);
    constexpr unsigned operatorThreads = 8;
    /** Platform and worker connections that are kept idle per address. */
    constexpr std::size_t idleConnections = 16;

    HttpServerLimits limits(const Settings& settings, unsigned threads)
    {
        HttpServerLimits limits;
        limits.threads_ = threads;
        limits.tlsCertificate_ = settings.tlsCertificate_;
        limits.tlsPrivateKey_ = settings.tlsPrivateKey_;
        return limits;
    }

    std::unique_ptr<MembershipService> startMembership(const Settings& settings)
    {
        Result<std::unique_ptr<MembershipService>> service = MembershipService::start(settings, static_cast<std::uint64_t>(wallClockMillis()));
        if (!service)
            throw std::runtime_error(describe(service.error()));
        return std::move(*service);
    }

}

struct Daemon::Impl {
    explicit Impl(const Settings& settings)
        : settings_(settings)
        , platformClient_(idleConnections)
        , workerClient_(2)
        , minionClient_(idleConnections)
        , forwardClient_(0)
        , table_(platformClient_, settings.platformAddress_)
        , objects_(platformClient_, settings.platformAddress_)
        , list_(platformClient_, settings.platformAddress_)
        , writeIds_(settings.instance_.value())
        , lease_(table_, writeIds_, settings.instance_, settings.dataCentre_)
        , store_(table_, writeIds_)
        , control_(table_, writeIds_)
        , configurations_(table_, writeIds_)
        , workers_(workerClient_)
        , jobs_(store_, control_, settings.instance_, settings.dataCentre_, settings.dataCentres_)
        , identities_(Keyring(settings.bootstrapOperatorKeyHashes_))
        , scheduler_(settings.dataCentre_, lease_, store_, workers_, metrics_, [this](const JobSpec&) { return jobs_.otherInService(); })
        , router_(minionClient_, table_, objects_, { settings.instance_, settings.dataCentre_, static_cast<std::uint64_t>(wallClockMillis()) })
        , membership_(startMembership(settings))
        , sharing_(router_, *membership_, { settings.instance_, settings.dataCentre_, static_cast<std::uint64_t>(wallClockMillis()) })
        , watcher_(configurations_, settings.dataCentre_, [this](std::uint64_t, const Configuration& configuration) { apply(configuration); })
        , peers_(settings, watcher_, *membership_, lease_)
        , explanations_(scheduler_, peers_, forwardClient_)
        , callerHandler_(settings.instance_, identities_, jobs_, explanations_, router_, metrics_)
        , operatorHandler_(identities_, control_, configurations_, watcher_, metrics_, settings.dataCentres_, hooks())
        , callerServer_(settings.callerAddress_, callerHandler_, limits(settings, static_cast<unsigned>(settings.callerThreads_)))
        , operatorServer_(settings.operatorAddress_, operatorHandler_, limits(settings, operatorThreads))
        , instanceThread_([this] { watchInstances(); })
        , houseThread_([this] { keepHouse(); })
    {
        logStateChange("daemon", "started", { { "instance", settings.instance_.value() }, { "data_centre", settings.dataCentre_.value() } });
    }

    ~Impl()
    {
        isEnding_ = true;
        instanceThread_.join();
        houseThread_.join();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void apply(const Configuration& configuration)
    {
        identities_.replace(Keyring(configuration));
        router_.configure(configuration.services_);
        scheduler_.setConfiguration(configuration);
    }

    OperatorHooks hooks()
    {
        OperatorHooks hooks;
        hooks.whyNotReady_ = [this] { return whyNotReady(); };
        hooks.dump_ = [this] { return dump(); };
        hooks.cut_ = [this](const std::vector<InstanceId>& instances) { return cut(instances); };
        return hooks;
    }

    /** Plays a partition; only where peers are on loopback without keys, as in tests. */
    Result<void> cut(const std::vector<InstanceId>& instances)
    {
        if (!settings_.peerPublicKey_.empty())
            return failure(ErrorKind::Unsupported, "peers with keys can't be cut off", "cut connections only in tests without keys");
        membership_->setCut({ instances.begin(), instances.end() });
        return {};
    }

    std::string whyNotReady() const
    {
        if (isStopping_)
            return "the instance is stopping";
        if (!watcher_.isCurrent())
            return "the newest configuration isn't known or not in force yet";
        if (!sharing_.isEstablished() && monotonicNow() < startedAt_ + joinTime)
            return "the peers have not yet made room at the minions";
        return {};
    }

    JsonValue dump() const
    {
        JsonValue state = jsonObject();
        state.addValue("instance", settings_.instance_.value());
        state.addValue("data_centre", settings_.dataCentre_.value());
        state.addValue("stopping", isStopping_.load());
        state.addValue("configuration_version", watcher_.version());
        state.addValue("requests_in_progress", router_.inProgress());
        addMember(state, "scheduler", scheduler_.dump());
        addMember(state, "router", router_.dump());
        addMember(state, "membership", membership_->dump());
        addMember(state, "slot_sharing", sharing_.dump());
        return state;
    }

    void watchInstances()
    {
        while (!isEnding_) {
            const Result<std::vector<ListedInstance>> listed = list_.instances(monotonicNow() + storeTime);
            if (listed)
                take(*listed);
            pause(instancePollTime);
        }
    }

    void take(const std::vector<ListedInstance>& listed)
    {
        router_.setMinions(listed);
        membership_->setInstanceList(listed);
        std::vector<ListedInstance> own;
        for (const ListedInstance& instance : listed) {
            if (instance.dataCentre_ == settings_.dataCentre_)
                own.push_back(instance);
        }
        scheduler_.setWorkers(own);
    }

    /** What the holder of the lease does besides scheduling: confirms configurations and removes expired jobs. */
    void keepHouse()
    {
        std::uint64_t confirmed = 0;
        Time nextRetention = monotonicNow() + retentionTime;
        while (!isEnding_) {
            pause(confirmPollTime);
            const Time now = monotonicNow();
            const ControlStatus status = lease_.status(now);
            if (status.isHeld_ && now >= nextRetention) {
                removeExpired(table_, writeIds_, status.fence_, {}, wallClockMillis(), now + storeTime);
                nextRetention = now + retentionTime;
            }
            const std::uint64_t version = peers_.versionInForceHere();
            if (!status.isHeld_ || version == confirmed)
                continue;
            if (configurations_.confirm(version, status.fence_, monotonicNow() + storeTime))
                confirmed = version;
        }
    }

    void pause(Duration time)
    {
        const Time until = monotonicNow() + time;
        while (!isEnding_ && monotonicNow() < until)
            std::this_thread::sleep_for(stopPollTime);
    }

    bool isBusy() const
    {
        return callerServer_.requestsInProgress() > 0 || router_.inProgress() > 0;
    }

    bool stop(Time deadline)
    {
        isStopping_ = true;
        logStateChange("daemon", "stopping");
        callerHandler_.beginStop();
        router_.beginStop();
        membership_->announceLeave();
        while (isBusy() && monotonicNow() < deadline)
            std::this_thread::sleep_for(stopPollTime);
        const bool isClean = !isBusy();
        lease_.handOver(monotonicNow() + handOverTime);
        logStateChange("daemon", isClean ? "stopped" : "stopped with work in progress", {}, isClean ? LogLevel::Info : LogLevel::Warn);
        return isClean;
    }

    const Settings settings_;
    Time startedAt_ = monotonicNow();
    std::atomic<bool> isStopping_ { false };
    std::atomic<bool> isEnding_ { false };
    Metrics metrics_;
    CxxtoolsHttpClient platformClient_;
    CxxtoolsHttpClient workerClient_;
    CxxtoolsHttpClient minionClient_;
    CxxtoolsHttpClient forwardClient_;
    HttpTable table_;
    HttpObjectStore objects_;
    HttpInstanceList list_;
    WriteIds writeIds_;
    LeaseService lease_;
    JobStore store_;
    DataCentreControl control_;
    ConfigurationControl configurations_;
    HttpWorkerClient workers_;
    JobService jobs_;
    IdentitySource identities_;
    DataCentreScheduler scheduler_;
    RequestRouter router_;
    std::unique_ptr<MembershipService> membership_;
    SlotSharing sharing_;
    ConfigurationWatcher watcher_;
    PeerCoordinator peers_;
    JobExplanations explanations_;
    CallerHandler callerHandler_;
    OperatorHandler operatorHandler_;
    HttpServer callerServer_;
    HttpServer operatorServer_;
    std::thread instanceThread_;
    std::thread houseThread_;
};

Daemon::Daemon(const Settings& settings)
    : impl_(std::make_unique<Impl>(settings))
{
}

Daemon::~Daemon() = default;

bool Daemon::stop(Time deadline)
{
    return impl_->stop(deadline);
}

}
