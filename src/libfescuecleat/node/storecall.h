#pragma once

#include "node/rowstore.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>

namespace fescuecleat {

struct CommitCall {
    RowTransaction transaction_;
};

struct ReadCall {
    RowRange range_;
};

struct FollowCall {
    std::string table_;
    std::uint64_t after_ = 0;
    Duration wait_ {};
};

/** A call of the store that one instance makes for another. */
struct StoreCall {
    std::variant<CommitCall, ReadCall, FollowCall> call_;
    Duration timeLimit_ {};
};

using StoreOutcome = tl::expected<RowPage, StoreFailure>;

/** Between instances calls and outcomes are CBOR, since rows hold any bytes. */
std::string encodeStoreCall(const StoreCall&);
std::optional<StoreCall> decodeStoreCall(const std::string& bytes);
/** The page of a commit has no rows. */
std::string encodeStoreOutcome(const StoreOutcome&);
std::optional<StoreOutcome> decodeStoreOutcome(const std::string& bytes);

}
