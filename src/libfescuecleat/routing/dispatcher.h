#pragma once

#include "routing/dispatchaction.h"
#include "routing/dispatchevent.h"
#include "routing/latencyestimate.h"
#include "routing/randomsource.h"
#include "routing/returncalendar.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fescuecleat {

/** How a minion is picked among those with room. */
enum class ChoicePolicy {
    /** The freer of two random ones. */
    TwoChoices,
    /** The freest of all. */
    MostFree,
};

/** What a dispatcher is told once. */
struct DispatcherOptions {
    DataCentreId dataCentre_;
    std::uint64_t seed_ = 0;
    ChoicePolicy choice_ = ChoicePolicy::TwoChoices;
};

/** A dispatcher's numbers at a moment. */
struct DispatcherSummary {
    std::size_t minions_ = 0;
    std::size_t ejected_ = 0;
    std::size_t leaving_ = 0;
    std::size_t waiting_ = 0;
    int busySlots_ = 0;
    int allowedSlots_ = 0;
    Duration meanServiceTime_ {};
    /** Slots that waiting requests could use at once but that this instance doesn't have. */
    int wantedSlots_ = 0;
};

/** One minion's numbers at a moment, for dumps. */
struct MinionSummary {
    Minion minion_;
    int busy_ = 0;
    int allowed_ = 0;
    std::string condition_;
    /** It, or a peer, said that it leaves, but the list doesn't. */
    bool isOnlySeenLeaving_ = false;
    Duration meanLatency_ {};
};

/**
 * Decides for one service which request goes to which minion and which one
 * waits or is refused. Deterministic: the same events at the same times give
 * the same actions. Not thread-safe.
 */
class Dispatcher {
public:
    explicit Dispatcher(DispatcherOptions);

    std::vector<DispatchAction> apply(const DispatchEvent&, Time now);

    DispatcherSummary summary(Time now) const;
    std::vector<MinionSummary> minionSummaries(Time now) const;

    /** The moment at which a slot that is kept busy becomes free again, if there is one. */
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
        /** Recent times on the minion as a multiple of the usual one for their kinds. */
        double slowdown_ = 1;
        /** Ends of the attempts that use slots, by stored deadline. */
        std::vector<Time> busyUntil_;
        /** The list shows the minion. */
        bool isListed_ = false;
        /** It said so itself, or a peer did. */
        bool isSeenLeaving_ = false;
        int probesInProgress_ = 0;
        /** It just refused for want of a slot. */
        Time fullUntil_;
    };

    using Actions = std::vector<DispatchAction>;

    void on(const Submit&, Time now, Actions&);
    void on(const Withdraw&, Time now, Actions&);
    void on(const AttemptEnded&, Time now, Actions&);
    void on(const MinionsListed&, Time now, Actions&);
    void on(const LeavingSeen&, Time now, Actions&);
    void on(const StayingSeen&, Time now, Actions&);
    void on(const AllowancesChanged&, Time now, Actions&);
    void on(const ClockTick&, Time now, Actions&);

    void releaseSlots(Time now);
    void serveQueue(Time now, Actions&);
    void refuse(Ticket, const std::string& reason, Time now, Actions&);
    bool trySend(const Submit&, Time now, Actions&);
    void judge(std::size_t index, AttemptVerdict, Time now, Actions&);
    AttemptVerdict settleTimeout(const InProgress&, Time now) const;
    bool mayEjectOneMore(Time now) const;

    Time attemptDeadline(const Submit&, Time now) const;
    Duration expectedTime(const std::string& kind) const;
    Duration expectedWait(const OrganisationId&, Time now) const;
    int usableSlots(Time now) const;
    bool hasUsableMinion(Time now) const;
    bool isLeaving(const MinionState&) const;
    bool hasRoom(const MinionState&, const Submit&, Time attemptEnd, Time now) const;
    std::optional<std::size_t> choose(const Submit&, Time attemptEnd, Time now);
    std::optional<std::size_t> chooseIn(const std::vector<std::size_t>&, const Submit&, Time attemptEnd, Time now);
    std::optional<std::size_t> chooseAmong(const std::vector<std::size_t>&, const Submit&, Time attemptEnd, Time now);
    std::size_t freer(std::size_t first, std::size_t second, Time now) const;
    std::size_t indexOf(const Minion&);
    void groupByDataCentre();

    DispatcherOptions options_;
    RandomSource random_;
    ReturnCalendar calendar_;
    FairQueue queue_;
    std::unordered_map<Ticket, Submit> waiting_;
    std::unordered_map<Ticket, InProgress> inProgress_;
    std::vector<MinionState> minions_;
    std::unordered_map<MinionId, std::size_t> indexes_;
    /** Indexes of minions, own data centre apart from the others. */
    std::vector<std::size_t> own_;
    std::map<DataCentreId, std::vector<std::size_t>> others_;
    std::map<DataCentreId, LatencyEstimate> delays_;
    std::map<std::string, LatencyEstimate> kinds_;
    LatencyEstimate serviceTime_;
};

}
