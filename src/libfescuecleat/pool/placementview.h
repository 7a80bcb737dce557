#pragma once

#include "base/time.h"
#include "pool/pooljobspec.h"
#include "pool/poolworkerstate.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/** What is to be placed. */
struct PlacementRequest {
    const StepSpec* step_ = nullptr;
    std::string service_;
    int taskCount_ = 1;
    /** Workers that may take fewer tasks of the step, since some are there already. */
    std::map<WorkerKey, int> tasksThere_;
    /** Workers to be used only where no others will do. */
    std::set<std::string> disliked_;
    /** A gang that wants one rack may be spread over several. */
    bool maySpanRacks_ = false;
    /** Workers kept free for urgent work may be used. */
    bool mayUseHeadroom_ = true;
};

/** Room that counts for a placement. */
enum class RoomKind {
    Free,
    /** Free, or about to be: its tasks are being stopped. */
    FreeSoon,
};

/** The pool's room during one scheduling pass: what is placed or reserved in the pass is taken off. */
class PlacementView {
public:
    using Placement = std::vector<PoolWorkerState*>;

    PlacementView(std::map<WorkerKey, PoolWorkerState>& workers, const std::set<std::string>& closedDataCentres, Time now);

    /** One worker a task, or nothing. */
    std::optional<Placement> find(const PlacementRequest&, RoomKind) const;
    /** Takes the room of a placement off, both kinds. */
    void take(const Placement&, const Resources& each);
    /** Adds room that is about to become free. */
    void addSoon(const PoolWorkerState*, const Resources&);
    /** Undoes addSoon. */
    void removeSoon(const PoolWorkerState*, const Resources&);
    /** Keeps so many idle workers, of the emptiest racks, for requests that may use the headroom. */
    void keepHeadroom(std::size_t workers);
    /** Keeps the rack that comes closest to holding the request from all that is placed later in the pass. */
    void reserveRack(const PlacementRequest&);

    /** Workers of one rack, or of all if no rack is named, that the request may use at all, whatever their room. */
    std::vector<const PoolWorkerState*> eligible(const PlacementRequest&, const std::string& rack) const;
    /** The request would fit into one rack if that were empty. */
    bool couldFitOneRack(const PlacementRequest&) const;
    /** Workers a rack. */
    const std::map<std::string, std::vector<std::size_t>>& racks() const { return racks_; }

private:
    struct Slot {
        PoolWorkerState* worker_;
        Resources free_;
        Resources soon_;
        bool isAvoided_;
        const std::string* rack_;
        bool isHeadroom_ = false;
    };
    /** Free accelerators of a rack, both kinds. */
    struct RackRoom {
        std::int64_t free_ = 0;
        std::int64_t soon_ = 0;
    };

    bool isEligible(const Slot&, const PlacementRequest&) const;
    bool isDisliked(const Slot&, const PlacementRequest&) const;
    std::int64_t fitting(const Slot&, const PlacementRequest&, RoomKind, std::int64_t limit) const;
    std::optional<Placement> findSingle(const PlacementRequest&, RoomKind) const;
    std::optional<Placement> findGang(const PlacementRequest&, RoomKind, bool withDisliked) const;
    Placement fill(std::vector<std::pair<std::size_t, std::int64_t>> rooms, const PlacementRequest&, RoomKind) const;
    std::int64_t rackRoom(const Slot& slot, RoomKind kind) const
    {
        const RackRoom& rack = rackRooms_.at(*slot.rack_);
        return kind == RoomKind::Free ? rack.free_ : rack.soon_;
    }
    void changeRoom(Slot&, const Resources& free, const Resources& soon);
    const Resources& room(const Slot& slot, RoomKind kind) const { return kind == RoomKind::Free ? slot.free_ : slot.soon_; }

    std::vector<Slot> slots_;
    std::map<const PoolWorkerState*, std::size_t> slotOf_;
    std::map<std::string, std::vector<std::size_t>> racks_;
    std::map<std::string, RackRoom> rackRooms_;
};

}
