#pragma once

#include "net/timer.h"
#include "node/rowstore.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescuecleat {

/** A row store in memory that can lose, refuse and delay calls. */
class FakeRowStore : public RowStore {
public:
    explicit FakeRowStore(boost::asio::io_context&);

    void commit(RowTransaction, Duration timeout, CommitHandler) override;
    void read(const RowRange&, Duration timeout, PageHandler) override;
    void follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler) override;

    /** Applies the next commits, but loses their answers. */
    void loseAnswers(int count) { answersToLose_ = count; }
    /** Doesn't answer the next commits, and applies them only with applyHeldBack(). */
    void holdBackCommits(int count) { commitsToHoldBack_ = count; }
    /** Applies the commits held back whose expectations are still met; returns their number. */
    int applyHeldBack();
    /** Refuses reads and commits of these parts. */
    void setRefusedParts(std::set<std::string> parts) { refusedParts_ = std::move(parts); }
    /** Refuses feeds while set. */
    void setRefusingFeeds(bool refuses) { isRefusingFeeds_ = refuses; }
    /** Refuses all calls while set. */
    void setRefusing(bool refuses) { isRefusing_ = refuses; }
    /** Delays the application and the answer of commits, as a slow store does. */
    void setCommitDelay(Duration delay) { commitDelay_ = delay; }
    /** Refuses commits while set, as an overloaded part does. */
    void setRefusingWrites(bool refuses) { isRefusingWrites_ = refuses; }
    /** Rejects transactions with a value above this size, measured as it is sent. */
    void setRowBytes(std::size_t bytes) { rowBytes_ = bytes; }
    /** Rejects transactions that concern this table; none if empty. */
    void setRejectedTable(std::string table) { rejectedTable_ = std::move(table); }
    /** The size of the largest value written so far, measured as it is sent. */
    std::size_t largestRowBytes() const { return largestRowBytes_; }
    /** Neither applies nor answers calls while set. */
    void setSilent(bool isSilent) { isSilent_ = isSilent; }
    /** Feeds deliver no changes while set. */
    void setFeedsSilent(bool areSilent);
    int commitsSeen() const { return commitsSeen_; }
    /** Is told each row that is written, before the writer is answered. */
    using WriteObserver = std::function<void(const std::string& table, const StoredRow&)>;
    void setWriteObserver(WriteObserver observer) { observer_ = std::move(observer); }
    /** Drops the oldest changes of a table that has more of them. */
    void setHistoryLimit(std::size_t changes) { historyLimit_ = changes; }
    /** Reads return at most this many rows at once. */
    void setPageRows(std::size_t rows) { pageRows_ = rows; }
    /** Feeds return at most this many changes at once, but whole transactions. */
    void setFeedRows(std::size_t rows) { feedRows_ = rows; }
    /** Drops the change history, so that followers must reload. */
    void dropHistory();

    /** Writes a row as another client. */
    void put(const std::string& table, const std::string& key, const std::string& value, const std::string& part = {});
    void erase(const std::string& table, const std::string& key);
    std::optional<std::string> value(const std::string& table, const std::string& key) const;
    /** Number of unbounded reads of a table. */
    int fullReads(const std::string& table) const;

private:
    struct LongPoll {
        std::string table_;
        std::uint64_t after_ = 0;
        PageHandler handler_;
        std::unique_ptr<Timer> timer_;
    };
    /** The changes of a table in the order of their versions. */
    struct History {
        std::deque<StoredRow> changes_;
        /** Changes up to this version are no longer available. */
        std::uint64_t goneUpTo_ = 0;
    };

    bool isTooLarge(const RowTransaction&);
    bool isOfRejectedTable(const RowTransaction&) const;
    tl::expected<StoreTimestamp, StoreFailure> apply(const RowTransaction&);
    StoreTimestamp timestamp() const;
    RowPage changesAfter(const std::string& table, std::uint64_t after) const;
    bool isHistoryGone(const std::string& table, std::uint64_t after) const;
    void addChange(const std::string& table, const StoredRow&);
    void notify();
    template <typename Function>
    void postToLoop(Function);

    boost::asio::io_context& loop_;
    std::map<std::string, std::map<std::string, StoredRow>> tables_;
    /** Part of each row, by table and key. */
    std::map<std::pair<std::string, std::string>, std::string> parts_;
    std::map<std::string, History> histories_;
    std::size_t historyLimit_ = std::numeric_limits<std::size_t>::max();
    WriteObserver observer_;
    std::uint64_t oldestVersion_ = 0;
    std::uint64_t version_ = 0;
    std::list<LongPoll> longPolls_;
    std::vector<RowTransaction> heldBack_;
    std::map<std::string, int> fullReads_;
    int answersToLose_ = 0;
    int commitsToHoldBack_ = 0;
    Duration commitDelay_ {};
    std::list<Timer> delays_;
    bool isSilent_ = false;
    bool isRefusingWrites_ = false;
    bool isRefusingFeeds_ = false;
    std::set<std::string> refusedParts_;
    bool areFeedsSilent_ = false;
    int commitsSeen_ = 0;
    bool isRefusing_ = false;
    std::size_t rowBytes_ = std::numeric_limits<std::size_t>::max();
    std::size_t largestRowBytes_ = 0;
    std::string rejectedTable_;
    std::size_t feedRows_ = std::numeric_limits<std::size_t>::max();
    std::size_t pageRows_ = std::numeric_limits<std::size_t>::max();
};

}
