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

/** The rows of the platform's table, kept in memory. */
class TableModel {
public:
    /** Takes effect wholly or not at all. A write id that is known gets its first answer again. */
    std::variant<Committed, Conflicted> commit(const Transaction&);

    /** The row, with version 0 if there is none. */
    Row read(const std::string& key) const;

    std::vector<Row> scan(const std::string& prefix) const;

    /** Revision at which this write id took effect. */
    std::optional<std::uint64_t> committedRevision(const std::string& writeId) const;

    std::uint64_t revision() const { return revision_; }

private:
    struct Stored {
        std::string value_;
        std::uint64_t version_ = 0;
    };

    std::map<std::string, Stored> rows_;
    std::map<std::string, std::uint64_t> writes_;
    std::uint64_t revision_ = 0;
};

}
