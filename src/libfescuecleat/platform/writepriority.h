#pragma once

#include "platform/transaction.h"

namespace fescuecleat {

/** Priority of writes when the write budget is short, highest first. */
enum class WritePriority {
    /** Lease, service and configuration rows, which the control protocols depend on. */
    Control,
    /** Request claims and job states: a caller or the scheduler waits for them. */
    Record,
    /** Retention and statistics, which may be delayed by hours. */
    Background,
};

/** Priority of a transaction: the highest of the keys that it writes. */
WritePriority priorityOf(const Transaction&);

}
