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

/** Where and under which epoch a command to a worker goes. */
struct WorkerTarget {
    Address address_;
    std::uint64_t epoch_ = 0;
};

/** Counters of a fleet since the start of the process. */
struct WorkerFleetCounts {
    std::uint64_t renewals_ = 0;
    std::uint64_t unanswered_ = 0;
    std::uint64_t fenced_ = 0;
    std::uint64_t lost_ = 0;
};

/**
 * The workers of one data centre as a scheduler sees them: renews their run
 * permits, passes on their reports as events and tells when one is lost.
 * Workers are spread over shards, each with a lock and a thread of its own, so
 * that a silent worker delays only those of its shard.
 */
class WorkerFleet {
public:
    using EventSink = std::function<void(SchedulerEvent)>;
    /** True if the worker may forget the ended task, because its outcome is durable. */
    using SettledTest = std::function<bool(const TaskKey&)>;

    /** Client, sink and test outlive the fleet. Both functions are called without locks held. */
    WorkerFleet(WorkerClient&, const RunPermitPolicy&, EventSink, SettledTest);
    ~WorkerFleet();

    WorkerFleet(const WorkerFleet&) = delete;
    WorkerFleet& operator=(const WorkerFleet&) = delete;

    /** The workers of the instance list. One that vanished from it is kept until it is lost. */
    void setWorkers(const std::vector<ListedInstance>&);

    /**
     * This instance holds the lease of the epoch: renew, report, and declare
     * losses. A worker of `expected` that isn't listed is declared lost too, once
     * no earlier holder's permit can be valid on it.
     */
    void begin(std::uint64_t epoch, const std::set<WorkerId>& expected);

    /** The lease lapsed: go on renewing for the grace time, report nothing. */
    void suspend();

    /** Stop renewing. */
    void end();

    /** Empty if the worker isn't known, is lost, or this instance doesn't hold the lease. */
    std::optional<WorkerTarget> target(const WorkerId&) const;

    /** A prepare is on its way: a report without the task says nothing yet. */
    void notePending(const WorkerId&, const TaskKey&);
    /** The prepare ended: a report that was asked for later and lacks the task means that it isn't there. */
    void noteAnswered(const WorkerId&, const TaskKey&);

    /** A value that the worker's clock has certainly reached by `moment`; empty if its clock isn't known. */
    std::optional<std::int64_t> toWorkerClock(const WorkerId&, Time moment) const;

    WorkerFleetCounts counts() const;
    JsonValue dump(Time now) const;

private:
    struct Entry {
        Address address_;
        RackId rack_;
        std::optional<WorkerLink> link_;
        bool isJoined_ = false;
        bool isLost_ = false;
        bool isListed_ = true;
        std::vector<TaskKey> ended_;
        /** Until when reports may lack the task; Time::max() while its prepare is on its way. */
        std::map<TaskKey, Time> fresh_;
    };

    struct Shard {
        mutable std::mutex mutex_;
        std::map<WorkerId, Entry> workers_;
        std::thread thread_;
    };

    struct Renewal {
        WorkerId worker_;
        Address address_;
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
    std::optional<Renewal> nextDue(Shard&, Time now);
    void renew(Shard&, const Renewal&);
    void takeReport(Shard&, const Renewal&, const WorkerReport&, Time received);
    static std::vector<TaskKey> knownTasks(Entry&, const Renewal&, const WorkerReport&);
    void declareLosses(Shard&, Time now);
    bool mayRenew(Time now) const;

    WorkerClient& client_;
    const RunPermitPolicy policy_;
    const EventSink sink_;
    const SettledTest isSettled_;
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
