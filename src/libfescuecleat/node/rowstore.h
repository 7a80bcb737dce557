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
    /** Of the transaction that wrote it; rises over the whole store. */
    std::uint64_t version_ = 0;
    bool isDeleted_ = false;
};

struct RowExpectation {
    std::string table_;
    std::string key_;
    /** 0: the row must not exist. */
    std::uint64_t version_ = 0;
};

/** Rows of one part of a table, from `from_`, before `to_`; empty bounds are open. */
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

/** Applied whole or not at all. The store does transactions of one part one after the other. */
struct RowTransaction {
    /** The part that all rows lie in. */
    std::string part_ = {};
    std::vector<RowExpectation> expectations_;
    std::vector<RowUpsert> writes_;
    std::vector<RowDeletion> deletions_;
};

/** The store's version and steady clock, and when we asked and heard. */
struct StoreMoment {
    std::uint64_t version_ = 0;
    std::int64_t clockMs_ = 0;
    Time askedAt_ {};
    Time answeredAt_ {};
};

struct RowPage {
    std::vector<StoredRow> rows_;
    bool hasMore_ = false;
    StoreMoment moment_;
};

enum class StoreFailureKind {
    /** An expectation does not hold; the rows as they are come with it. */
    Conflict,
    /** Nothing was done. */
    Refused,
    /** It may have been done, or may be done yet. */
    OutcomeUnknown,
    /** The changes asked for are no longer kept. */
    HistoryGone,
};

struct StoreFailure {
    StoreFailureKind kind_ = StoreFailureKind::Refused;
    /** With a conflict: the rows that exist under the expected keys. */
    std::vector<StoredRow> rows_;
    std::string message_;
};

/** The platform's transactional tables. One implementation speaks to the platform, tests have their own. */
class RowStore {
public:
    using CommitHandler = std::function<void(tl::expected<StoreMoment, StoreFailure>)>;
    using PageHandler = std::function<void(tl::expected<RowPage, StoreFailure>)>;

    virtual ~RowStore() = default;

    virtual void commit(RowTransaction, Duration timeLimit, CommitHandler) = 0;
    /** Rows in the order of their keys. */
    virtual void read(const RowRange&, Duration timeLimit, PageHandler) = 0;
    /** Changes of all parts after a version, as soon as there are any, at the latest after `wait`. */
    virtual void follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeLimit, PageHandler) = 0;
};

const char* storeFailureName(StoreFailureKind);
/** A bound behind a key and before the keys of other rows; no key of ours has characters below the blank. */
std::string boundAfter(const std::string& key);

}
