#pragma once

#include "base/id.h"
#include "base/time.h"
#include "platform/instancelist.h"
#include "scheduler/schedulerevent.h"
#include "worker/runpermitpolicy.h"
#include "worker/workerclient.h"
#include "worker/workerlink.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <vector>

namespace fescuecleat {

/** Address of a worker and the epoch for commands to it. */
struct WorkerTarget {
    Address address_;
    std::uint64_t epoch_ = 0;
};

/** Counters since the start of the process. */
struct WorkerFleetCounts {
    std::uint64_t renewals_ = 0;
    std::uint64_t unanswered_ = 0;
    /** Renewals refused because the worker has seen a higher epoch. */
    std::uint64_t fenced_ = 0;
    /** Workers declared lost. */
    std::uint64_t lost_ = 0;
};

/**
 * Manages the workers of one data centre for its scheduler: renews their run
 * permits, forwards their reports as events and declares workers lost. Workers
 * are distributed over shards with a lock and a thread each, so that a worker
 * that does not answer delays only the others of its shard. Thread-safe.
 */
class WorkerFleet {
public:
    using EventSink = std::function<void(SchedulerEvent)>;
    /** Returns true if the outcome of an ended task is durable, so that the worker may drop the task. */
    using DurabilityCheck = std::function<bool(const TaskKey&)>;

    /** The client must outlive the fleet. Both functions are called from the threads of the fleet, without locks held. */
    WorkerFleet(WorkerClient&, const RunPermitPolicy&, EventSink, DurabilityCheck);
    ~WorkerFleet();

    WorkerFleet(const WorkerFleet&) = delete;
    WorkerFleet& operator=(const WorkerFleet&) = delete;

    /** Sets the workers of the instance list. A worker that is not listed any more is kept. */
    void setWorkers(const std::vector<ListedInstance>&);

    /**
     * Begins an epoch of this instance: renews permits, forwards reports and
     * declares workers lost. A worker of `expected` that is not listed is declared
     * lost too, once no permit of an earlier holder can be valid on it.
     */
    void begin(std::uint64_t epoch, Time leaseUntil, const std::set<WorkerId>& expected);

    /** The lease was renewed. Permits are renewed until the grace period after its end has passed, even if nobody calls suspend(). */
    void leaseExtended(Time leaseUntil);

    /** The lease expired or was given up: keeps renewing permits for the grace period. */
    void suspend();

    /** Stops renewing permits. */
    void end();

    /** Where to send commands for the worker; empty if the worker is unknown or lost, or this instance is not the scheduler. */
    std::optional<WorkerTarget> target(const WorkerId&) const;

    /** A prepare was sent: until its end, a report without the task does not mean that the worker lacks it. */
    void prepareSent(const WorkerId&, const TaskKey&);
    /** The prepare ended: a report that is requested later and lacks the task means that the worker lacks it. */
    void prepareEnded(const WorkerId&, const TaskKey&);

    /** A value, in microseconds, that the clock of the worker has reached by `moment`; empty if its clock is unknown. */
    std::optional<std::int64_t> toWorkerClock(const WorkerId&, Time moment) const;

    WorkerFleetCounts counts() const;
    JsonValue dump(Time now) const;

private:
    struct Entry {
        Address address_;
        RackId rack_;
        std::optional<WorkerLink> link_;
        /** Number of calls of begin(); answers to renewals of an earlier one say nothing about the present link. */
        std::uint64_t term_ = 0;
        bool isJoined_ = false;
        bool isLost_ = false;
        bool isListed_ = true;
        std::vector<TaskKey> ended_;
        /** End of the prepare of each task, Time::max() while it is in flight. Reports requested before may lack the task. */
        std::map<TaskKey, Time> recentPrepares_;
    };

    struct Shard {
        mutable std::mutex mutex_;
        std::map<WorkerId, Entry> workers_;
        std::thread thread_;
    };

    struct Renewal {
        WorkerId worker_;
        Address address_;
        std::uint64_t term_ = 0;
        RenewalPlan plan_;
        std::vector<TaskKey> ended_;
        Time sentAt_;
    };

    enum class Mode {
        Idle,
        Active,
        Suspended,
    };

    static constexpr std::size_t shardCount = 8;

    Shard& shardOf(const WorkerId&);
    const Shard& shardOf(const WorkerId&) const;
    void run(Shard&);
    std::optional<Renewal> nextDueRenewal(Shard&, Time now);
    void renew(Shard&, const Renewal&);
    void takeReport(Shard&, const Renewal&, const WorkerReport&, Time received);
    static std::vector<TaskKey> knownTasks(Entry&, const Renewal&, const WorkerReport&);
    void declareLostWorkers(Shard&, Time now);
    bool mayRenew(Time now) const;

    WorkerClient& client_;
    const RunPermitPolicy policy_;
    const EventSink sink_;
    const DurabilityCheck isOutcomeDurable_;
    std::array<Shard, shardCount> shards_;

    mutable std::mutex modeMutex_;
    Mode mode_ = Mode::Idle;
    std::uint64_t epoch_ = 0;
    Time renewUntil_;

    std::atomic<bool> isStopping_ { false };
    std::atomic<std::uint64_t> renewals_ { 0 };
    std::atomic<std::uint64_t> unanswered_ { 0 };
    std::atomic<std::uint64_t> fenced_ { 0 };
    std::atomic<std::uint64_t> lost_ { 0 };
};

}
