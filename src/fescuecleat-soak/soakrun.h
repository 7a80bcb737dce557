#pragma once

#include "callerload.h"
#include "soaktestbed.h"

#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat::soak {

/** What a run showed. */
struct SoakOutcome {
    std::uint32_t seed_ = 0;
    double seconds_ = 0;
    /** Task starts that the stand-in counted. */
    std::int64_t starts_ = 0;
    /** Jobs that the stand-in knows. */
    std::size_t jobs_ = 0;
    std::vector<std::string> violations_;
    /** The callers' own account. */
    nlohmann::json callers_;

    nlohmann::json toJson() const;
};

/** Plays one schedule against a testbed, ends all faults, and then checks the promises. */
class SoakRun {
public:
    /** Time from the end of the faults until every instance must be ready. */
    static constexpr Duration readinessLimit = std::chrono::seconds(15);
    /** Time from the end of the faults until every accepted job must be final. */
    static constexpr Duration recoveryLimit = std::chrono::seconds(30);

    /** The settings' size and seed are replaced by the schedule's. */
    SoakRun(boost::asio::io_context&, AsyncHttpClient&, SoakSchedule, const SoakTestbed::Settings&);

    /** Throws TestbedError if the run can't take place. */
    SoakOutcome run();

private:
    using Callback = std::function<void()>;

    void begin(const TimedAction&);
    void begin(const RestartInstances&);
    void begin(const PauseInstances&);
    void begin(const DisturbLinks&);
    void begin(const DisturbPlatform&);
    void begin(const RestartWorker&);
    void begin(const HideWorker&);
    void begin(const ResizeWorker&);
    void resizeWorker(int worker, int accelerators);
    void begin(const ChangeConfiguration&);
    void begin(const CloseDataCentre&);

    void followScheduler();
    /** Replaces currentScheduler by the instance that answered last that it schedules. */
    std::vector<int> resolve(const std::vector<int>& instances) const;
    void restartRolling(const std::vector<int>& instances, std::size_t position, Milliseconds downtime);
    void restart(int instance, bool isKilled, Milliseconds downtime, const Callback& restarted);
    void whenReady(int instance, Time deadline, const Callback&);
    /** Runs the callback later, unless the faults end before. */
    void later(Milliseconds, Callback);
    /** Sends the configuration with the changes that hold now, unless one is on its way. */
    void sendConfiguration();
    void configurationConfirmed(const PoolConfiguration&);
    void endFaults();
    void awaitRecovery();
    void checkAudit();
    void stopInstances();
    void report(const std::string& violation);
    void note(const std::string& text);

    boost::asio::io_context& loop_;
    SoakSchedule schedule_;
    std::string folder_;
    SoakTestbed testbed_;
    CallerLoad callers_;
    SoakOutcome outcome_;
    Time startedAt_ {};
    bool areFaultsOver_ = false;
    int scheduler_ = 0;
    std::list<Timer> timers_;
    /** Number of faults so far of each link and each part of the stand-in; the end of a fault that was replaced changes nothing. */
    std::map<LoopbackProxy*, int> linkFaults_;
    std::map<std::string, int> platformFaults_;
    std::map<int, int> pauses_;
    std::map<std::string, int> closures_;
    std::set<int> restartedWorkers_;
    /** The newest change of each worker's capacity. */
    std::map<int, int> resizes_;
    /** The change of the configuration that was made last, unless it is over, and the number of changes so far. */
    ChangeConfiguration change_;
    int changes_ = 0;
    /** Organisations whose key is withdrawn by the stored configuration. */
    std::set<std::size_t> confirmedWithdrawals_;
    std::uint64_t configurationVersion_ = 1;
    bool isConfigurationSent_ = false;
    bool isConfigurationOld_ = false;
    Lifetime lifetime_;
};

}
