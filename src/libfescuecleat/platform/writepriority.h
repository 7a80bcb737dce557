#pragma once

#include "platform/transaction.h"

namespace fescuecleat {

/** What goes first when the table takes fewer writes than are wanted. */
enum class WritePriority {
    /** Leases, service and configuration rows: the control protocols stand on them. */
    Control,
    /** Claims and durable job states: someone waits for them. */
    Record,
    /** Retention, statistics: may wait for hours. */
    Background,
};

/** The priority of a transaction, from the keys that it writes. */
WritePriority priorityOf(const Transaction&);

}
