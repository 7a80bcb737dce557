#pragma once

#include "base/id.h"
#include "scheduler/acceleratormask.h"
#include "scheduler/cell.h"

#include <vector>

namespace fescuecleat {

/** The part of a guaranteed cell on one worker. */
struct GuaranteedCellPart {
    int worker_ = -1;
    AcceleratorMask accelerators_ = 0;
};

/**
 * The physical cell assigned to one guaranteed cell of an organisation. Guaranteed
 * cells never overlap, so each can be reclaimed independently of the others.
 * Other organisations may borrow it while its owner doesn't use it.
 */
struct GuaranteedCell {
    /** Unique; ids are not reused. */
    int id_ = -1;
    OrganisationId organisation_;
    CellLevel level_ = CellLevel::Accelerator;
    std::vector<GuaranteedCellPart> parts_;
};

/** Guaranteed cells of one level that could not be assigned. */
struct Shortfall {
    OrganisationId organisation_;
    CellLevel level_ = CellLevel::Accelerator;
    int missing_ = 0;
};

}
