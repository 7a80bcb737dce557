#pragma once

#include "base/result.h"
#include "base/time.h"
#include "platform/transaction.h"

#include <string>
#include <variant>
#include <vector>

namespace fescuecleat {

/** Outcome of a commit that the table decided. */
using CommitOutcome = std::variant<Committed, Conflicted>;

/** Rows with a common key prefix, read at one revision of the table. */
struct RowScan {
    std::vector<Row> rows_;
    std::uint64_t revision_ = 0;
};

/**
 * The platform's transactional table. Calls block until they are answered or
 * the deadline has passed. Thread-safe.
 */
class Table {
public:
    virtual ~Table() = default;

    /**
     * Commits a transaction. Errors: Unavailable (nothing took effect),
     * OutcomeUnknown (it may have taken effect; repeating it is safe).
     */
    virtual Result<CommitOutcome> commit(const Transaction&, Time deadline) = 0;

    /** The row; its version is 0 if it does not exist. Errors: Unavailable. */
    virtual Result<Row> read(const std::string& key, Time deadline) = 0;

    /** All rows whose key starts with the prefix. Errors: Unavailable. */
    virtual Result<RowScan> scan(const std::string& prefix, Time deadline) = 0;
};

}
