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

    constexpr Duration instancePollInterval = std::chrono::milliseconds(500);
    constexpr Duration confirmPollInterval = std::chrono::milliseconds(100);
    constexpr Duration retentionInterval = std::chrono::minutes(1);
    constexpr Duration stopPollInterval = std::chrono::milliseconds(10);
    /** After this time a new instance is ready even if its peers have not freed slots for it; it borrows slots instead. */
    constexpr Duration joinTimeout = std::chrono::seconds(5);
    constexpr Duration storeTimeout = std::chrono::seconds(2);
    constexpr Duration handOverTimeout = std::chrono::seconds(2);
    constexpr unsigned operatorThreads = 8;
    /** Idle connections kept per address to the platform and to minions. */
    constexpr std::size_t maxIdleConnections = 16;

    HttpServerLimits serverLimits(const Settings& settings, unsigned threads)
    {
        HttpServerLimits limits;
        limits.threads_ = threads;
        limits.tlsCertificate_ = settings.tlsCertificate_;
        limits.tlsPrivateKey_ = settings.tlsPrivateKey_;
        return limits;
    }

    std::unique_ptr<MembershipService> startMembership(const Settings& settings)
    {
        Result<std::unique_ptr<MembershipService>> service = MembershipService::start(settings, static_cast<std::uint64_t>(wallClockMs()));
        if (!service)
            throw std::runtime_error(describe(service.error()));
        return std::move(*service);
    }

}

struct Daemon::Impl {
    explicit Impl(const Settings& settings)
        : settings_(settings)
        , platformClient_(maxIdleConnections)
        , workerClient_(2)
        , minionClient_(maxIdleConnections)
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
        , scheduler_(settings.dataCentre_, lease_, store_, workers_, metrics_, [this](const JobSpec&) { return jobs_.otherDataCentreInService(); })
        , router_(minionClient_, table_, objects_, { settings.instance_, settings.dataCentre_, static_cast<std::uint64_t>(wallClockMs()) })
        , membership_(startMembership(settings))
        , sharing_(router_, *membership_, { settings.instance_, settings.dataCentre_, static_cast<std::uint64_t>(wallClockMs()) })
        , watcher_(configurations_, settings.dataCentre_, [this](std::uint64_t, const Configuration& configuration) { apply(configuration); })
        , peers_(settings, watcher_, *membership_, lease_)
        , explanations_(scheduler_, peers_, forwardClient_)
        , callerHandler_(settings.instance_, identities_, jobs_, explanations_, router_, metrics_)
        , operatorHandler_(identities_, control_, configurations_, watcher_, metrics_, settings.dataCentres_, hooks())
        , callerServer_(settings.callerAddress_, callerHandler_, serverLimits(settings, static_cast<unsigned>(settings.callerThreads_)))
        , operatorServer_(settings.operatorAddress_, operatorHandler_, serverLimits(settings, operatorThreads))
        , instanceThread_([this] { watchInstances(); })
        , leaseHolderThread_([this] { runLeaseHolderTasks(); })
    {
        logStateChange("daemon", "started", { { "instance", settings.instance_.value() }, { "data_centre", settings.dataCentre_.value() } });
    }

    ~Impl()
    {
        isEnding_ = true;
        instanceThread_.join();
        leaseHolderThread_.join();
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
        hooks.notReadyReason_ = [this] { return notReadyReason(); };
        hooks.dump_ = [this] { return dump(); };
        hooks.cut_ = [this](const std::vector<InstanceId>& instances) { return cut(instances); };
        return hooks;
    }

    /** Simulates a network partition, for tests. Only where peers have no keys, which is possible on loopback alone. */
    Result<void> cut(const std::vector<InstanceId>& instances)
    {
        if (!settings_.peerPublicKey_.empty())
            return failure(ErrorKind::Unsupported, "connections between peers with keys can't be cut", "cut connections only in tests without keys");
        membership_->setCut({ instances.begin(), instances.end() });
        return {};
    }

    std::string notReadyReason() const
    {
        if (isStopping_)
            return "the instance is stopping";
        if (!watcher_.isCurrent())
            return "the newest configuration is not known or not in force yet";
        if (!sharing_.isEstablished() && monotonicNow() < startedAt_ + joinTimeout)
            return "peers have not yet freed slots of the minions for this instance";
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
            const Result<std::vector<ListedInstance>> listed = list_.instances(monotonicNow() + storeTimeout);
            if (listed)
                applyInstanceList(*listed);
            sleepFor(instancePollInterval);
        }
    }

    void applyInstanceList(const std::vector<ListedInstance>& listed)
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

    /** While this instance holds the lease: confirms configuration versions and removes expired jobs. */
    void runLeaseHolderTasks()
    {
        std::uint64_t confirmed = 0;
        Time nextRetention = monotonicNow() + retentionInterval;
        while (!isEnding_) {
            sleepFor(confirmPollInterval);
            const Time now = monotonicNow();
            const ControlStatus status = lease_.status(now);
            if (status.isHeld_ && now >= nextRetention) {
                removeExpired(table_, writeIds_, status.fence_, {}, wallClockMs(), now + storeTimeout);
                nextRetention = now + retentionInterval;
            }
            const std::uint64_t version = peers_.versionInForceInDataCentre();
            if (!status.isHeld_ || version == confirmed)
                continue;
            if (configurations_.confirm(version, status.fence_, monotonicNow() + storeTimeout))
                confirmed = version;
        }
    }

    void sleepFor(Duration duration)
    {
        const Time until = monotonicNow() + duration;
        while (!isEnding_ && monotonicNow() < until)
            std::this_thread::sleep_for(stopPollInterval);
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
            std::this_thread::sleep_for(stopPollInterval);
        const bool isClean = !isBusy();
        lease_.handOver(monotonicNow() + handOverTimeout);
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
    std::thread leaseHolderThread_;
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
