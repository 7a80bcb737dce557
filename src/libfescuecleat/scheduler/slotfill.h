#pragma once

#include "scheduler/jobspec.h"
#include "scheduler/slot.h"

#include <optional>
#include <vector>

namespace fescuecleat {

/** What is looked for: a gang of equal tasks. */
struct GangDemand {
    TaskShape shape_;
    int tasks_ = 1;
    Adjacency adjacency_ = Adjacency::Any;
};

/** The slot's place in the order, or nothing if not one task fits. */
std::optional<SlotKey> keyOf(const Slot&, const TaskShape&);

/** Puts up to `missing` tasks on the slot and takes them out of it. */
void fillSlot(Slot&, const TaskShape&, int missing, std::vector<TaskPlace>&);

/** The cheapest, then tightest places for the whole gang, or nothing. */
std::optional<Placement> fillSlots(const std::vector<Slot>&, const GangDemand&);

}
