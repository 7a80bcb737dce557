#pragma once

#include "scheduler/jobspec.h"
#include "scheduler/slot.h"

#include <optional>
#include <vector>

namespace fescuecleat {

/** Resource demand of a gang of identical tasks. */
struct GangDemand {
    TaskShape shape_;
    int tasks_ = 1;
    Adjacency adjacency_ = Adjacency::Any;
};

/** Sort key of the slot; empty if not even one task fits. */
std::optional<SlotKey> keyOf(const Slot&, const TaskShape&);

/** Places up to `missing` tasks on the slot and subtracts their resources from it. */
void fillSlot(Slot&, const TaskShape&, int missing, std::vector<TaskPlace>&);

/** Placement of the whole gang with the lowest cost, then the tightest fit; empty if it does not fit. */
std::optional<Placement> fillSlots(const std::vector<Slot>&, const GangDemand&);

}
