#pragma once

#include "base/time.h"
#include "control/leaseservice.h"
#include "daemon/actionsequencer.h"
#include "daemon/commandpool.h"
#include "scheduler/scheduler.h"
#include "state/jobstore.h"
#include "telemetry/metrics.h"
#include "worker/workerfleet.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace fescuecleat {

/** Chooses the data centre that an offered job moves to; returns no value if none is in service. */
using DataCentreChooser = std::function<std::optional<DataCentreId>(const JobSpec&)>;

/**
 * The scheduler of this instance's data centre. Idle until this instance holds
 * the lease; then rebuilds its state from the table and the workers' reports,
 * feeds events to the decision core and executes the actions that it returns.
 *
 * Lock order: the decision lock is never held during a fleet, lease or store
 * call, except for the fleet's look-ups, which lock one shard.
 */
class DataCentreScheduler {
public:
    /** All references must outlive the scheduler. */
    DataCentreScheduler(const DataCentreId&, LeaseService&, JobStore&, WorkerClient&, Metrics&, DataCentreChooser, const RunPermitPolicy& = {});
    ~DataCentreScheduler();

    DataCentreScheduler(const DataCentreScheduler&) = delete;
    DataCentreScheduler& operator=(const DataCentreScheduler&) = delete;

    void setWorkers(const std::vector<ListedInstance>& listed) { fleet_.setWorkers(listed); }
    void setConfiguration(const Configuration&);

    /** True while this instance holds the lease and has loaded the state. */
    bool isActive() const { return isActive_; }

    /** The reason why a job waits; no value if this instance is not the scheduler. */
    std::optional<std::string> explain(const JobId&) const;

    /** The scheduler's state as JSON, for operators. */
    JsonValue dump() const;

private:
    void watchLease();
    void takeOver(const ControlStatus&);
    void stepDown();
    void applyControlStatus(const ControlStatus&);

    void decide();
    void post(SchedulerEvent);
    void handle(const SchedulerEvent&, Time now);
    void execute(ActionSequencer::Step);
    void issue(SchedulerAction);
    void issuePrepare(const PrepareTask&);
    void issueStart(const StartTask&);
    void issueStop(const StopTask&);
    void issueCheckpoint(const CheckpointTask&);
    void issueThrottle(const ThrottleTask&);
    void issueOffer(const OfferJob&);
    void reportRefused(const TaskKey&, const WorkerId&, const std::string& reason);
    void reportState(const TaskKey&, const WorkerId&, TaskState);

    void writeRecords();
    std::vector<JobChange> takeChanges(std::vector<JobId>& jobs);
    Result<RecordOutcome> write(const std::vector<JobChange>&);
    void applyOutcome(const std::vector<JobId>& jobs, const Result<RecordOutcome>&);

    void watchInbox();
    bool processInbox();
    bool isAttemptOver(const TaskKey&) const;
    std::optional<JobSpec> specOf(const JobId&) const;
    LeaseFence fence() const;

    const DataCentreId dataCentre_;
    LeaseService& lease_;
    JobStore& store_;
    WorkerClient& workers_;
    DataCentreChooser chooseDataCentre_;

    Counter& events_;
    Counter& records_;
    Counter& recordFailures_;
    Counter& takeovers_;
    LatencyHistogram& decisionTime_;
    LatencyHistogram& recordTime_;

    std::atomic<bool> isStopping_ { false };
    std::atomic<bool> isActive_ { false };
    std::atomic<bool> needsReload_ { false };

    mutable std::mutex mutex_;
    std::condition_variable eventPosted_;
    std::condition_variable recordAdded_;
    std::deque<SchedulerEvent> queue_;
    std::optional<Scheduler> scheduler_;
    ActionSequencer sequencer_;
    std::map<JobId, StoredJob> jobs_;
    std::optional<Configuration> configuration_;
    LeaseFence fence_;
    std::uint64_t serviceVersion_ = 0;
    bool isTakenOut_ = false;

    CommandPool commands_;
    WorkerFleet fleet_;
    std::vector<std::thread> threads_;
};

}
