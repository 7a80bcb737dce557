#include "scheduler/acceleratormask.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    AcceleratorMask blockAt(int base, int size, int capacity)
    {
        const int end = std::min(base + size, capacity);
        return firstAccelerators(end) & ~firstAccelerators(base);
    }

    AcceleratorMask lowestBits(AcceleratorMask mask, int count)
    {
        AcceleratorMask chosen = 0;
        for (; count > 0; --count) {
            const AcceleratorMask bit = mask & (~mask + 1);
            chosen |= bit;
            mask &= ~bit;
        }
        return chosen;
    }

    /** Size of the largest completely free aligned cell that contains the block, or the free accelerators of the block if it is partly in use. */
    int enclosingFreeCellSize(AcceleratorMask free, int base, int size, int capacity)
    {
        int enclosing = countAccelerators(free & blockAt(base, size, capacity));
        while (size < capacity) {
            size *= 2;
            base -= base % size;
            const AcceleratorMask block = blockAt(base, size, capacity);
            if ((block & ~free) != 0)
                break;
            enclosing = countAccelerators(block);
        }
        return enclosing;
    }

}

AcceleratorMask firstAccelerators(int count)
{
    if (count <= 0)
        return 0;
    return count >= maxAcceleratorsPerWorker ? ~AcceleratorMask { 0 } : (AcceleratorMask { 1 } << count) - 1;
}

int countAccelerators(AcceleratorMask mask)
{
    return __builtin_popcountll(mask);
}

std::vector<int> positionsOf(AcceleratorMask mask)
{
    std::vector<int> positions;
    for (; mask != 0; mask &= mask - 1)
        positions.push_back(__builtin_ctzll(mask));
    return positions;
}

AcceleratorMask maskOf(const std::vector<int>& positions)
{
    AcceleratorMask mask = 0;
    for (const int position : positions) {
        if (position >= 0 && position < maxAcceleratorsPerWorker)
            mask |= AcceleratorMask { 1 } << position;
    }
    return mask;
}

int blockSizeFor(int accelerators)
{
    int size = 1;
    while (size < accelerators)
        size *= 2;
    return size;
}

std::optional<BlockChoice> tightestBlock(AcceleratorMask free, int capacity, int accelerators)
{
    if (accelerators == 0)
        return BlockChoice {};
    if (countAccelerators(free) < accelerators)
        return std::nullopt;
    const int size = blockSizeFor(accelerators);
    std::optional<BlockChoice> best;
    for (int base = 0; base < capacity; base += size) {
        const AcceleratorMask inBlock = free & blockAt(base, size, capacity);
        if (countAccelerators(inBlock) < accelerators)
            continue;
        const int enclosing = enclosingFreeCellSize(free, base, size, capacity);
        if (!best || enclosing < best->enclosingCellSize_)
            best = BlockChoice { lowestBits(inBlock, accelerators), enclosing };
    }
    return best;
}

}
