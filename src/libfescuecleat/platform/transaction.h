#pragma once

#include "platform/row.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** Requires that the row has this version; 0 requires that it does not exist. */
struct RowCondition {
    std::string key_;
    std::uint64_t version_ = 0;
};

/** Writes the value of a row, or deletes the row if the value is empty. */
struct RowWrite {
    std::string key_;
    std::optional<std::string> value_;
};

/** Writes that take effect atomically if all conditions hold. */
struct Transaction {
    /** Idempotency key, never reused. The table stores it with the outcome, so that a commit without an answer can be repeated. */
    std::string writeId_;
    std::vector<RowCondition> conditions_;
    std::vector<RowWrite> writes_;
};

/** The transaction took effect at this revision of the table. */
struct Committed {
    std::uint64_t revision_ = 0;
};

/** Nothing took effect; `current_` holds the current rows of the failed conditions. */
struct Conflicted {
    std::vector<Row> current_;
};

}
