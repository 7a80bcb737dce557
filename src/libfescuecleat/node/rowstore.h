#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace fescuecleat {

/** A row of the platform's store. */
struct StoredRow {
    std::string key_;
    std::string value_;
    /** Version of the transaction that wrote the row; increases across the whole store. */
    std::uint64_t version_ = 0;
    bool isDeleted_ = false;
};

/** Condition of a transaction: the row has this version. */
struct RowExpectation {
    std::string table_;
    std::string key_;
    /** 0 if the row must not exist. */
    std::uint64_t version_ = 0;
};

/** Rows of one part of a table with keys from `from_` up to, but without `to_`; an empty bound is open. */
struct RowRange {
    std::string table_;
    std::string part_;
    std::string from_;
    std::string to_;
};

struct RowUpsert {
    std::string table_;
    std::string key_;
    std::string value_;
};

struct RowDeletion {
    std::string table_;
    std::string key_;
};

/** Applied atomically. The store serialises the transactions of one part. */
struct RowTransaction {
    /** The part that contains all rows of the transaction. */
    std::string part_ = {};
    std::vector<RowExpectation> expectations_;
    std::vector<RowUpsert> writes_;
    std::vector<RowDeletion> deletions_;
};

/** The version and the steady clock of the store in an answer, with the local times of the request and the answer. */
struct StoreTimestamp {
    std::uint64_t version_ = 0;
    std::int64_t clockMs_ = 0;
    Time askedAt_ {};
    Time answeredAt_ {};
};

/** Rows or changes in one answer of the store. */
struct RowPage {
    std::vector<StoredRow> rows_;
    bool hasMore_ = false;
    StoreTimestamp timestamp_;
};

enum class StoreFailureKind {
    /** An expectation isn't met; the failure contains the current rows. */
    Conflict,
    /** The call had no effect. */
    Refused,
    /** The call may have been applied, or may be later. */
    OutcomeUnknown,
    /** The requested changes are no longer available. */
    HistoryGone,
    /** The store doesn't accept the call itself, for example because of its size; sending it again can't succeed. */
    Rejected,
};

/** Why a call of the store failed. */
struct StoreFailure {
    StoreFailureKind kind_ = StoreFailureKind::Refused;
    /** For a conflict: the existing rows with the expected keys. */
    std::vector<StoredRow> rows_;
    std::string message_;
};

/** Access to the platform's transactional tables. */
class RowStore {
public:
    using CommitHandler = std::function<void(tl::expected<StoreTimestamp, StoreFailure>)>;
    using PageHandler = std::function<void(tl::expected<RowPage, StoreFailure>)>;

    virtual ~RowStore() = default;

    virtual void commit(RowTransaction, Duration timeout, CommitHandler) = 0;
    /** Reads rows in the order of their keys; `hasMore_` tells that the page is incomplete. */
    virtual void read(const RowRange&, Duration timeout, PageHandler) = 0;
    /** Long poll: returns the changes of all parts after a version, at the latest after `wait`. */
    virtual void follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler) = 0;
};

const char* storeFailureName(StoreFailureKind);
/** A range bound directly after a key; keys have no characters below the space. */
std::string boundAfter(const std::string& key);

}
