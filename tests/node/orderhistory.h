#pragma once

#include "node/poolfixture.h"
#include "node/relayrowstore.h"
#include "node/virtualclock.h"
#include "poolmodel/modelworkers.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fescuecleat {

/** The kinds of disruption that an OrderHistory draws from. */
struct HistoryFaults {
    /** Requests and answers are lost, reordered, or executed seconds later. */
    bool delivery_ = false;
    /** Workers crash and start again under their ids. */
    bool restarts_ = false;
    /** Workers are cut off from some or all instances, one way or both. */
    bool cuts_ = false;
    /** Workers leave the registry for a while and run on. */
    bool registry_ = false;
    /** Instances are killed, paused and cut off from the store. */
    bool instances_ = false;
    /** The store is silent, resetting, refusing or slow, for all instances or for the lease holder alone. */
    bool store_ = false;
    /** Some jobs have a task that crashes each worker that starts it. */
    bool deadlyTasks_ = false;
    /** Workers shrink and grow again while they run. */
    bool capacities_ = false;
    /** A configuration sends a queue to another service. */
    bool configurations_ = false;
    /** Operators change the limits of organisations. */
    bool limits_ = false;
};

/**
 * A random history of instances that schedule jobs on ModelWorkers in virtual time,
 * under disruptions in series that overlap. The seed gives the whole history.
 */
class OrderHistory {
public:
    OrderHistory(std::uint32_t seed, const HistoryFaults&);
    ~OrderHistory();

    void run();
    /** What the workers' model reports, and jobs that were given up without cause. */
    std::vector<std::string> violations() const;
    /** Jobs without a deadly task that are recorded as failed. */
    std::vector<std::string> jobsWronglyGivenUp() const;
    int startCount() const { return workers_.startCount(); }
    /** Jobs that have not ended although all disruptions ended long before. */
    std::vector<std::string> openJobs() const;
    /** Writes the log of all instances to standard output while the history runs. */
    void setPrintsLog(bool prints) { printsLog_ = prints; }

private:
    struct ModelInstance;

    void startInstance(int index);
    void submitJob();
    void disrupt();
    void disruptDelivery();
    void disruptWorker();
    void cutWorkers();
    void hideWorker();
    void resizeWorkers();
    void restoreCapacities();
    void disruptInstance();
    void disruptStore();
    /** Sends the queue that changes its service to the other one. */
    void changeConfiguration();
    void changeLimits();
    void removeLimits();
    void applyConfiguration();
    WorkerKind drawKind(const std::string& worker);
    void writeRegistryRow(const std::string& worker);
    void repeatRegistryRows();
    ModelInstance* holder();
    std::optional<PoolJobState> recordedState(const std::string& job) const;
    std::string drawWorker();
    Duration drawDuration(Duration from, Duration to);
    bool draws(double probability);
    void advance(Duration);

    VirtualClock clock_;
    std::mt19937 random_;
    HistoryFaults faults_;
    boost::asio::io_context storeLoop_;
    FakeRowStore store_ { storeLoop_ };
    ModelWorkers workers_;
    Duration maxLease_;
    std::vector<std::string> workerIds_;
    PoolConfiguration configuration_;
    std::map<std::string, Time> hiddenUntil_;
    std::vector<std::string> jobs_;
    std::vector<std::unique_ptr<ModelInstance>> instances_;
    FakeOperatorFormat operatorFormat_;
    FakeRegistryFormat registryFormat_;
    FakeCallerFormat callerFormat_;
    bool printsLog_ = false;
    Time faultsEndAt_ {};
    Time deliveryFaultsEndAt_ {};
};

}
