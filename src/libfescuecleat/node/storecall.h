#pragma once

#include "node/rowstore.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>

namespace fescuecleat {

/** Commits a transaction. */
struct CommitCall {
    RowTransaction transaction_;
};

/** Reads a range of rows. */
struct ReadCall {
    RowRange range_;
};

/** Waits for changes of a table. */
struct FollowCall {
    std::string table_;
    std::uint64_t after_ = 0;
    Duration wait_ {};
};

/** A store call that one instance executes for another. */
struct StoreCall {
    std::variant<CommitCall, ReadCall, FollowCall> call_;
    Duration timeout_ {};
};

using StoreOutcome = tl::expected<RowPage, StoreFailure>;

/** Encodes a call between instances as CBOR, because rows contain arbitrary bytes. */
std::string encodeStoreCall(const StoreCall&);
/** Returns nothing if the bytes are malformed. */
std::optional<StoreCall> decodeStoreCall(const std::string& bytes);
/** Encodes an outcome as CBOR; the page of a commit has no rows. */
std::string encodeStoreOutcome(const StoreOutcome&);
/** Returns nothing if the bytes are malformed. */
std::optional<StoreOutcome> decodeStoreOutcome(const std::string& bytes);

}
