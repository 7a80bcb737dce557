#pragma once

#include "routing/dispatchaction.h"
#include "routing/dispatchevent.h"
#include "routing/latencyestimate.h"
#include "routing/randomsource.h"
#include "routing/retryschedule.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fescuecleat {

/** How a minion is selected among those with a free slot. */
enum class SelectionPolicy {
    /** The less loaded of two random ones. */
    TwoRandomChoices,
    /** The least loaded of all. */
    LeastLoaded,
};

/** Fixed options of a dispatcher. */
struct DispatcherOptions {
    DataCentreId dataCentre_;
    std::uint64_t seed_ = 0;
    SelectionPolicy selection_ = SelectionPolicy::TwoRandomChoices;
};

/** Current figures of a dispatcher. */
struct DispatcherSummary {
    std::size_t minions_ = 0;
    std::size_t ejected_ = 0;
    std::size_t leaving_ = 0;
    std::size_t waiting_ = 0;
    int busySlots_ = 0;
    int allowedSlots_ = 0;
    Duration meanServiceTime_ {};
    /** Additional slots that the waiting requests could use at once. */
    int wantedSlots_ = 0;
};

/** Current figures of a minion. */
struct MinionSummary {
    Minion minion_;
    int busy_ = 0;
    int allowed_ = 0;
    std::string condition_;
    /** Reported as leaving by itself or a peer while the list shows it in service. */
    bool isLeavingUnconfirmed_ = false;
    Duration meanLatency_ {};
};

/**
 * Assigns the requests of one service to minions, queues them or refuses them.
 * Deterministic: the same events at the same times give the same actions. Not
 * thread-safe.
 */
class Dispatcher {
public:
    explicit Dispatcher(DispatcherOptions);

    std::vector<DispatchAction> apply(const DispatchEvent&, Time now);

    DispatcherSummary summary(Time now) const;
    std::vector<MinionSummary> minionSummaries(Time now) const;

    /** When the next busy slot or refusing minion becomes available; empty if no request waits or nothing is due. */
    std::optional<Time> nextTick(Time now) const;

private:
    struct InProgress {
        std::size_t minion_ = 0;
        Time startedAt_;
        Time deadline_;
        std::string kind_;
        bool isProbe_ = false;
    };

    struct MinionState {
        Minion minion_;
        SlotAllowance allowance_;
        MinionHealth health_;
        LatencyEstimate latency_;
        /** Recent latencies as a multiple of the mean latency of the same kind. */
        double slowdown_ = 1;
        /** When each busy slot is free at the latest: the deadlines of the attempts. */
        std::vector<Time> busyUntil_;
        /** True if the latest list contains the minion. */
        bool isListed_ = false;
        /** True if the minion itself or a peer reported that it is leaving. */
        bool isReportedLeaving_ = false;
        int probesInProgress_ = 0;
        /** Gets no requests until then after it refused one because all its slots were busy. */
        Time backoffUntil_;
    };

    using Actions = std::vector<DispatchAction>;

    void on(const Submit&, Time now, Actions&);
    void on(const Withdraw&, Time now, Actions&);
    void on(const AttemptEnded&, Time now, Actions&);
    void on(const MinionsListed&, Time now, Actions&);
    void on(const LeavingReported&, Time now, Actions&);
    void on(const StayingConfirmed&, Time now, Actions&);
    void on(const AllowancesChanged&, Time now, Actions&);
    void on(const ClockTick&, Time now, Actions&);

    void releaseSlots(Time now);
    void serveQueue(Time now, Actions&);
    void refuse(Ticket, const std::string& reason, Time now, Actions&);
    bool trySend(const Submit&, Time now, Actions&);
    void updateHealth(std::size_t index, HealthSignal, Time now, Actions&);
    HealthSignal classifyTimeout(const InProgress&, Time now) const;
    bool canEjectAnother(Time now) const;

    Time attemptDeadline(const Submit&, Time now) const;
    Duration expectedServiceTime(const std::string& kind) const;
    Duration expectedWait(const OrganisationId&, Time now) const;
    int usableSlots(Time now) const;
    bool hasUsableMinion(Time now) const;
    bool isLeaving(const MinionState&) const;
    bool canAccept(const MinionState&, const Submit&, Time attemptEnd, Time now) const;
    std::optional<std::size_t> selectMinion(const Submit&, Time attemptEnd, Time now);
    std::optional<std::size_t> selectInDataCentre(const std::vector<std::size_t>&, const Submit&, Time attemptEnd, Time now);
    std::optional<std::size_t> selectFrom(const std::vector<std::size_t>&, const Submit&, Time attemptEnd, Time now);
    std::size_t lessLoaded(std::size_t first, std::size_t second, Time now) const;
    std::size_t indexOf(const Minion&);
    void rebuildIndexes();

    DispatcherOptions options_;
    RandomSource random_;
    RetrySchedule retrySchedule_;
    FairQueue queue_;
    std::unordered_map<Ticket, Submit> waiting_;
    std::unordered_map<Ticket, InProgress> inProgress_;
    std::vector<MinionState> minions_;
    std::unordered_map<MinionId, std::size_t> indexes_;
    /** Indexes into minions_ of the listed minions of the own and of the other data centres. */
    std::vector<std::size_t> localMinions_;
    std::map<DataCentreId, std::vector<std::size_t>> remoteMinions_;
    std::map<DataCentreId, LatencyEstimate> latencyByDataCentre_;
    std::map<std::string, LatencyEstimate> latencyByKind_;
    LatencyEstimate serviceTime_;
};

}
