#pragma once

#include "base/id.h"
#include "scheduler/acceleratormask.h"
#include "scheduler/cell.h"

#include <vector>

namespace fescuecleat {

/** The part of a home that lies on one worker. */
struct HomePart {
    int worker_ = -1;
    AcceleratorMask accelerators_ = 0;
};

/**
 * The physical cell that is set aside for one guaranteed cell of an
 * organisation. Homes never overlap, so each can be reclaimed whatever happens
 * to the others. While its organisation doesn't use it, others borrow it.
 */
struct Home {
    /** Never reused. */
    int id_ = -1;
    OrganisationId organisation_;
    CellLevel level_ = CellLevel::Accelerator;
    std::vector<HomePart> parts_;
};

/** A guaranteed cell for which no place is left. */
struct Shortfall {
    OrganisationId organisation_;
    CellLevel level_ = CellLevel::Accelerator;
    int missing_ = 0;
};

}
