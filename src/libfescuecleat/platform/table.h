#pragma once

#include "base/result.h"
#include "base/time.h"
#include "platform/transaction.h"

#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

using CommitOutcome = std::variant<Committed, Conflicted>;

/** Rows under a prefix and the revision of the table that they show. */
struct RowScan {
    std::vector<Row> rows_;
    std::uint64_t revision_ = 0;
};

/**
 * The platform's transactional table. Calls block until they are answered or
 * the deadline passed. Thread-safe.
 */
class Table {
public:
    virtual ~Table() = default;

    /**
     * Commits a transaction. Errors: Unavailable, nothing took effect;
     * OutcomeUnknown, it may have taken effect and reading back failed too.
     */
    virtual Result<CommitOutcome> commit(const Transaction&, Time deadline) = 0;

    /** The row, with version 0 if there is none. Errors: Unavailable. */
    virtual Result<Row> read(const std::string& key, Time deadline) = 0;

    /** All rows whose keys begin with the prefix. Errors: Unavailable. */
    virtual Result<RowScan> scan(const std::string& prefix, Time deadline) = 0;
};

}
