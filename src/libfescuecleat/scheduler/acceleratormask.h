#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace fescuecleat {

/** Set of accelerators of one worker; bit N is the accelerator at position N. */
using AcceleratorMask = std::uint64_t;

/** Accelerators per worker that fit in a mask; the scheduler ignores the others. */
constexpr int maxAcceleratorsPerWorker = 64;

/** Mask of the accelerators 0 to `count` - 1. */
AcceleratorMask firstAccelerators(int count);

int countAccelerators(AcceleratorMask);

/** Positions of the set bits, in ascending order. */
std::vector<int> positionsOf(AcceleratorMask);

/** Mask of the given positions; positions out of range are ignored. */
AcceleratorMask maskOf(const std::vector<int>& positions);

/** Size of the smallest aligned block that holds `accelerators`: the next power of two. */
int blockSizeFor(int accelerators);

/** Accelerators chosen for one task, and how tightly they fit. */
struct BlockChoice {
    AcceleratorMask accelerators_ = 0;
    /** Free accelerators in the free cell that the choice splits; equals the demand for a perfect fit. */
    int enclosingCellSize_ = 0;
};

/**
 * Best fit for `accelerators` adjacent accelerators among the `free` ones of a
 * worker with `capacity` accelerators: within one aligned block and from the
 * smallest free cell; ties go to the lowest position. Empty if nothing fits.
 */
std::optional<BlockChoice> tightestBlock(AcceleratorMask free, int capacity, int accelerators);

}
