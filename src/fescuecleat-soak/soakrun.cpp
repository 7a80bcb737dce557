#include "soakrun.h"

#include "base/bootclock.h"
#include "base/overloaded.h"
#include "server/configurationwriter.h"

#include <algorithm>
#include <fstream>
#include <utility>

namespace fescuecleat::soak {

using Json = nlohmann::json;

namespace {

    /** Uses about two fifths of the accelerators, so that the backlog of the faults can be worked off. */
    constexpr double jobsPerSecondAndWorker = 0.15;
    constexpr Milliseconds probeInterval { 200 };
    /** A rolling restart goes on after this time even if the instance isn't ready. */
    constexpr Duration rollingLimit = std::chrono::seconds(5);
    constexpr Milliseconds schedulerInterval { 500 };
    constexpr Milliseconds workerDowntime { 100 };

    SoakTestbed::Settings settingsFor(const SoakSchedule& schedule, SoakTestbed::Settings settings)
    {
        settings.size_ = schedule.size_;
        settings.seed_ = schedule.seed_;
        return settings;
    }

    /** Values of the stand-in's faults that disturb nothing. */
    Json calmFaults()
    {
        return { { "store", { { "mode", "up" }, { "commitDelayMs", 0 }, { "feedsSilent", false }, { "feedsRefused", false }, { "refusedParts", Json::array() } } },
            { "workers", { { "lostRequests", 0.0 }, { "lostAnswers", 0.0 }, { "lateRequests", 0.0 }, { "refusedStarts", 0.0 }, { "maxDelayMs", 3 } } } };
    }

    /** The queues as callers use them; those of organisations without a key get an empty one. */
    std::vector<CallerQueue> callerQueues(const PoolConfiguration& configuration)
    {
        std::vector<CallerQueue> queues;
        for (std::size_t index = 0; index < configuration.queues_.size(); ++index) {
            const QueueConfiguration& queue = configuration.queues_[index];
            const PoolOrganisationConfiguration& organisation = configuration.organisations_[index % configuration.organisations_.size()];
            queues.push_back({ queue.name_, queue.host_, queue.prefix_, queue.service_, queue.priority_, organisation.keys_.empty() ? std::string() : organisation.keys_.front(), organisation.name_, queue.isPublic_ });
        }
        return queues;
    }

}

nlohmann::json SoakOutcome::toJson() const
{
    return { { "seed", seed_ }, { "seconds", seconds_ }, { "starts", starts_ }, { "jobs", jobs_ }, { "violations", violations_ }, { "callers", callers_ } };
}

SoakRun::SoakRun(boost::asio::io_context& loop, AsyncHttpClient& client, SoakSchedule schedule, const SoakTestbed::Settings& settings)
    : loop_(loop)
    , schedule_(std::move(schedule))
    , folder_(settings.folder_)
    , testbed_(loop, client, settingsFor(schedule_, settings), [this](const std::string& violation) { report(violation); })
    , callers_(loop, client, testbed_.callerAddresses(), { schedule_.seed_, jobsPerSecondAndWorker * schedule_.size_.workers_, callerQueues(SoakTestbed::baseConfiguration()) })
{
    outcome_.seed_ = schedule_.seed_;
}

SoakOutcome SoakRun::run()
{
    startedAt_ = monotonicNow();
    testbed_.start();
    note("all instances are ready");
    callers_.start();
    followScheduler();
    const Time faultsBegin = monotonicNow();
    for (const TimedAction& timed : schedule_.actions_)
        later(timed.at_, [this, &timed] { begin(timed); });
    runUntil(loop_, faultsBegin + schedule_.size_.duration_, [] { return false; });
    endFaults();
    awaitRecovery();
    checkAudit();
    stopInstances();
    for (const std::string& violation : callers_.violations())
        report("CALLER " + violation);
    outcome_.callers_ = callers_.summary();
    outcome_.seconds_ = std::chrono::duration<double>(monotonicNow() - startedAt_).count();
    return outcome_;
}

void SoakRun::begin(const TimedAction& timed)
{
    note(describe(timed) + " while i" + std::to_string(scheduler_) + " schedules");
    std::visit([this](const auto& action) { begin(action); }, timed.action_);
}

void SoakRun::followScheduler()
{
    for (int instance = 0; instance < schedule_.size_.instances_; ++instance)
        testbed_.askIfScheduler(instance, [this, instance] { scheduler_ = instance; });
    later(schedulerInterval, [this] { followScheduler(); });
}

std::vector<int> SoakRun::resolve(const std::vector<int>& instances) const
{
    std::vector<int> resolved;
    for (const int instance : instances) {
        const int known = instance == currentScheduler ? scheduler_ : instance;
        if (std::find(resolved.begin(), resolved.end(), known) == resolved.end())
            resolved.push_back(known);
    }
    return resolved;
}

void SoakRun::begin(const RestartInstances& action)
{
    const std::vector<int> instances = resolve(action.instances_);
    if (action.isRolling_)
        return restartRolling(instances, 0, action.downtime_);
    for (const int instance : instances)
        restart(instance, action.isKilled_, action.downtime_, [] {});
}

void SoakRun::restartRolling(const std::vector<int>& instances, std::size_t position, Milliseconds downtime)
{
    if (position >= instances.size() || areFaultsOver_)
        return;
    const int instance = instances[position];
    restart(instance, false, downtime, [this, instances, position, downtime, instance] {
        whenReady(instance, monotonicNow() + rollingLimit, [this, instances, position, downtime] { restartRolling(instances, position + 1, downtime); });
    });
}

void SoakRun::restart(int instance, bool isKilled, Milliseconds downtime, const Callback& restarted)
{
    const auto start = [this, instance, restarted] {
        testbed_.instance(instance).start();
        restarted();
    };
    const auto ended = [this, downtime, start] {
        if (areFaultsOver_)
            return start();
        later(downtime, start);
    };
    if (isKilled)
        testbed_.instance(instance).kill(ended);
    else
        testbed_.instance(instance).terminate(SoakTestbed::stopLimit, ended);
}

void SoakRun::whenReady(int instance, Time deadline, const Callback& callback)
{
    testbed_.probe(instance, lifetime_.guard([this, instance, deadline, callback](bool isReady) {
        if (isReady || monotonicNow() >= deadline)
            return callback();
        later(probeInterval, [this, instance, deadline, callback] { whenReady(instance, deadline, callback); });
    }));
}

void SoakRun::begin(const PauseInstances& action)
{
    const std::vector<int> instances = resolve(action.instances_);
    for (const int instance : instances) {
        testbed_.instance(instance).pause();
        ++pauses_[instance];
    }
    later(action.duration_, [this, instances] {
        for (const int instance : instances) {
            if (--pauses_[instance] == 0)
                testbed_.instance(instance).resume();
        }
    });
}

void SoakRun::begin(const DisturbLinks& action)
{
    std::vector<std::pair<LoopbackProxy*, int>> faults;
    for (const int instance : resolve(action.instances_)) {
        LoopbackProxy& link = action.isStoreLink_ ? testbed_.storeLink(instance) : testbed_.callerLink(instance);
        link.setMode(action.mode_, action.delay_);
        faults.emplace_back(&link, ++linkFaults_[&link]);
    }
    later(action.duration_, [this, faults] {
        for (const auto& [link, fault] : faults) {
            if (linkFaults_[link] == fault)
                link->setMode(LinkMode::Forward);
        }
    });
}

void SoakRun::begin(const DisturbPlatform& action)
{
    const int fault = ++platformFaults_[action.part_];
    testbed_.control("POST", "/faults", { { action.part_, action.faults_ } });
    later(action.duration_, [this, fault, part = action.part_] {
        if (platformFaults_[part] == fault)
            testbed_.control("POST", "/faults", { { part, calmFaults().at(part) } });
    });
}

void SoakRun::begin(const RestartWorker& action)
{
    if (monotonicNow() < testbed_.workerUpAt(action.worker_))
        return note("the worker is down already");
    restartedWorkers_.insert(action.worker_);
    testbed_.restartWorker(action.worker_, action.downtime_, action.label_, action.service_);
}

void SoakRun::begin(const HideWorker& action)
{
    testbed_.control("POST", "/workers/hide", { { "worker", "w" + std::to_string(action.worker_) }, { "forMs", action.duration_.count() } });
}

void SoakRun::begin(const ResizeWorker& action)
{
    resizeWorker(action.worker_, action.accelerators_);
    later(action.duration_, [this, worker = action.worker_, resize = ++resizes_[action.worker_]] {
        if (resizes_[worker] == resize)
            resizeWorker(worker, workerAccelerators);
    });
}

void SoakRun::resizeWorker(int worker, int accelerators)
{
    testbed_.control("POST", "/workers/capacity", { { "worker", "w" + std::to_string(worker) }, { "accelerators", accelerators } });
}

void SoakRun::begin(const ChangeConfiguration& action)
{
    change_ = action;
    sendConfiguration();
    later(action.duration_, [this, change = ++changes_] {
        if (changes_ != change)
            return;
        change_ = {};
        sendConfiguration();
    });
}

void SoakRun::begin(const CloseDataCentre& action)
{
    if (++closures_[action.dataCentre_] == 1)
        testbed_.control("PUT", "/closures/" + action.dataCentre_, nullptr);
    later(action.duration_, [this, action] {
        if (--closures_[action.dataCentre_] == 0)
            testbed_.control("DELETE", "/closures/" + action.dataCentre_, nullptr);
    });
}

void SoakRun::later(Milliseconds after, Callback callback)
{
    if (areFaultsOver_)
        return;
    timers_.emplace_back(loop_).start(after, std::move(callback));
}

void SoakRun::sendConfiguration()
{
    if (isConfigurationSent_) {
        isConfigurationOld_ = true;
        return;
    }
    PoolConfiguration configuration = SoakTestbed::baseConfiguration();
    const PoolConfiguration base = configuration;
    configuration.version_ = ++configurationVersion_;
    if (change_.movedQueue_ >= 0) {
        std::string& service = configuration.queues_[static_cast<std::size_t>(change_.movedQueue_)].service_;
        service = service == services[0] ? services[1] : services[0];
    }
    for (std::size_t index = 0; index < configuration.organisations_.size(); ++index) {
        if (static_cast<int>(index) == change_.withdrawnKey_)
            configuration.organisations_[index].keys_.clear();
        else if (confirmedWithdrawals_.erase(index) != 0)
            callers_.keyRestored(base.organisations_[index].keys_.front());
    }
    isConfigurationSent_ = true;
    isConfigurationOld_ = false;
    testbed_.control("PUT", "/configuration", Json::parse(encodeConfiguration(configuration)), lifetime_.guard([this, configuration](const Json& answer) {
        isConfigurationSent_ = false;
        if (!answer.is_null())
            configurationConfirmed(configuration);
        if (isConfigurationOld_)
            sendConfiguration();
    }));
}

void SoakRun::configurationConfirmed(const PoolConfiguration& configuration)
{
    note("configuration " + std::to_string(configuration.version_) + " is stored");
    const Time now = bootTimeNow();
    const PoolConfiguration base = SoakTestbed::baseConfiguration();
    for (std::size_t index = 0; index < configuration.organisations_.size(); ++index) {
        if (configuration.organisations_[index].keys_.empty() && confirmedWithdrawals_.insert(index).second)
            callers_.keyWithdrawn(base.organisations_[index].keys_.front(), now);
    }
    callers_.configurationConfirmed(callerQueues(configuration), now);
}

void SoakRun::endFaults()
{
    note("faults end");
    areFaultsOver_ = true;
    timers_.clear();
    callers_.stopSubmitting();
    testbed_.control("POST", "/faults", calmFaults());
    for (const auto& [dataCentre, count] : closures_) {
        if (count > 0)
            testbed_.control("DELETE", "/closures/" + dataCentre, nullptr);
    }
    for (const auto& [worker, resize] : resizes_)
        resizeWorker(worker, workerAccelerators);
    for (const int worker : restartedWorkers_) {
        timers_.emplace_back(loop_).start(remaining(testbed_.workerUpAt(worker), monotonicNow()), [this, id = worker] {
            testbed_.restartWorker(id, workerDowntime, SoakTestbed::firstLabel(id), SoakTestbed::firstService(id));
        });
    }
    change_ = {};
    sendConfiguration();
    for (int instance = 0; instance < schedule_.size_.instances_; ++instance) {
        testbed_.storeLink(instance).setMode(LinkMode::Forward);
        testbed_.callerLink(instance).setMode(LinkMode::Forward);
        ChildProcess& process = testbed_.instance(instance);
        process.resume();
        // An instance that is still stopping starts again when it has ended.
        process.start();
    }
}

void SoakRun::awaitRecovery()
{
    const Time faultsEnd = monotonicNow();
    bool isReadinessChecked = false;
    const auto checkReadiness = [&](const std::set<int>& unready) {
        if (isReadinessChecked || (!unready.empty() && monotonicNow() < faultsEnd + readinessLimit))
            return;
        isReadinessChecked = true;
        for (const int instance : unready)
            report("READY i" + std::to_string(instance) + " isn't ready " + std::to_string(wholeMilliseconds(readinessLimit)) + " ms after the faults");
    };
    testbed_.probeAll(faultsEnd + recoveryLimit, [&](const std::set<int>& unready) {
        checkReadiness(unready);
        return isReadinessChecked && callers_.openJobs().empty();
    });
    note("recovery took " + std::to_string(wholeMilliseconds(monotonicNow() - faultsEnd)) + " ms");
    for (const std::string& job : callers_.openJobs())
        report("OPEN " + job + " isn't final " + std::to_string(wholeMilliseconds(recoveryLimit)) + " ms after the faults");
}

void SoakRun::checkAudit()
{
    bool isAnswered = false;
    Json audit;
    testbed_.control("GET", "/audit", nullptr, [&](const Json& answer) {
        isAnswered = true;
        audit = answer;
    });
    if (!runUntil(loop_, monotonicNow() + std::chrono::seconds(10), [&isAnswered] { return isAnswered; }) || !audit.is_object())
        return report("CONTROL the audit gave no answer");
    try {
        for (const Json& violation : audit.at("violations"))
            report(violation.get<std::string>());
        outcome_.starts_ = audit.at("starts");
        const Json& jobs = audit.at("jobs");
        outcome_.jobs_ = jobs.size();
        for (const std::string& job : callers_.refusedJobs()) {
            const auto found = jobs.find(job);
            if (found != jobs.end() && found->at("everStarted").get<bool>())
                report("REFUSED " + job + " was refused as not run on every attempt, but a task started");
        }
    } catch (const Json::exception& error) {
        report(std::string("CONTROL the audit can't be read: ") + error.what());
    }
}

void SoakRun::stopInstances()
{
    int ended = 0;
    for (int instance = 0; instance < schedule_.size_.instances_; ++instance)
        testbed_.instance(instance).terminate(SoakTestbed::stopLimit, [&ended] { ++ended; });
    runUntil(loop_, monotonicNow() + SoakTestbed::stopLimit + std::chrono::seconds(2), [this, &ended] { return ended == schedule_.size_.instances_; });
}

void SoakRun::report(const std::string& violation)
{
    note("violation: " + violation);
    outcome_.violations_.push_back(violation);
}

void SoakRun::note(const std::string& text)
{
    std::ofstream log(folder_ + "/soak.log", std::ios::app);
    log << wholeMilliseconds(monotonicNow().time_since_epoch()) << " +" << wholeMilliseconds(monotonicNow() - startedAt_) << " " << text << "\n";
}

}
