#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace fescuecleat {

/** A set of accelerators of one worker, one bit for each position. */
using AcceleratorMask = std::uint64_t;

/** Accelerators of a worker that can be managed; further ones are ignored. */
constexpr int maxAcceleratorsPerWorker = 64;

/** The accelerators 0 to `count` - 1. */
AcceleratorMask firstAccelerators(int count);

int countAccelerators(AcceleratorMask);

/** Positions in ascending order. */
std::vector<int> positionsOf(AcceleratorMask);

/** The set of the positions given; positions out of range are ignored. */
AcceleratorMask maskOf(const std::vector<int>& positions);

/** Size of the smallest aligned block that holds `accelerators`: the next power of two. */
int blockSizeFor(int accelerators);

/** Accelerators for one task and how tightly they fit. */
struct BlockChoice {
    AcceleratorMask accelerators_ = 0;
    /** Free accelerators of the free cell that is broken up; equal to the demand for a perfect fit. */
    int enclosing_ = 0;
};

/**
 * The tightest place for `accelerators` adjacent ones among the `free` ones of
 * a worker with `capacity`: inside one aligned block, out of the smallest free
 * cell, the lowest position among equals.
 */
std::optional<BlockChoice> tightestBlock(AcceleratorMask free, int capacity, int accelerators);

}
