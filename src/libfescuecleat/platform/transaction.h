#pragma once

#include "platform/row.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** The commit happens only if the row still has this version; 0: only if it doesn't exist. */
struct RowCondition {
    std::string key_;
    std::uint64_t version_ = 0;
};

/** Writes the value, or deletes the row if there is none. */
struct RowWrite {
    std::string key_;
    std::optional<std::string> value_;
};

/** A set of writes that take effect together or not at all. */
struct Transaction {
    /** Unique for ever; the table keeps it with the commit so that a lost answer can be read back. */
    std::string writeId_;
    std::vector<RowCondition> conditions_;
    std::vector<RowWrite> writes_;
};

/** All writes took effect at this revision of the table. */
struct Committed {
    std::uint64_t revision_ = 0;
};

/** Nothing took effect; `current_` holds the rows whose conditions failed. */
struct Conflicted {
    std::vector<Row> current_;
};

}
