#pragma once

#include "platform/row.h"
#include "platform/transaction.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fescuecleat::standins {

/** The platform's table, kept in memory. */
class TableModel {
public:
    /** Commits atomically. Repeating a committed write id has no effect and returns the revision of its first commit. */
    std::variant<Committed, Conflicted> commit(const Transaction&);

    /** Returns the row; its version is 0 if it doesn't exist. */
    Row read(const std::string& key) const;

    std::vector<Row> scan(const std::string& prefix) const;

    /** Returns the revision of the commit with this write id, if there was one. */
    std::optional<std::uint64_t> committedRevision(const std::string& writeId) const;

    std::uint64_t revision() const { return revision_; }

private:
    struct StoredRow {
        std::string value_;
        std::uint64_t version_ = 0;
    };

    std::map<std::string, StoredRow> rows_;
    std::map<std::string, std::uint64_t> committedRevisions_;
    std::uint64_t revision_ = 0;
};

}
