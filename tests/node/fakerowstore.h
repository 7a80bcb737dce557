#pragma once

#include "net/timer.h"
#include "node/rowstore.h"

#include <boost/asio/io_context.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescuecleat {

/** A row store in memory whose answers can be lost, refused and late. */
class FakeRowStore : public RowStore {
public:
    explicit FakeRowStore(boost::asio::io_context&);

    void commit(RowTransaction, Duration timeLimit, CommitHandler) override;
    void read(const RowRange&, Duration timeLimit, PageHandler) override;
    void follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeLimit, PageHandler) override;

    /** The next commits are carried out, and their answers are lost. */
    void loseAnswers(int count) { answersToLose_ = count; }
    /** The next commits are not carried out and get no answer; landLate() carries them out. */
    void holdBack(int count) { commitsToHoldBack_ = count; }
    /** Carries out what was held back, as far as its expectations hold; says how many did. */
    int landLate();
    /** Refuses everything while set. */
    void setRefusing(bool refuses) { refuses_ = refuses; }
    /** Commits are carried out and answered this much later, as a slow store does. */
    void setCommitDelay(Duration delay) { commitDelay_ = delay; }
    /** Refuses commits while set, as a part does that is too slow. */
    void setRefusingWrites(bool refuses) { refusesWrites_ = refuses; }
    /** No call gets an answer while set; nothing is carried out. */
    void setSilent(bool isSilent) { isSilent_ = isSilent; }
    /** Feeds hear of no change while set. */
    void setFeedsSilent(bool areSilent);
    int commitsSeen() const { return commitsSeen_; }
    /** Forgets all changes: followers have to read again. */
    void dropHistory();

    /** A write of somebody else. */
    void put(const std::string& table, const std::string& key, const std::string& value, const std::string& part = {});
    void erase(const std::string& table, const std::string& key);
    std::optional<std::string> value(const std::string& table, const std::string& key) const;
    int fullReads(const std::string& table) const;

private:
    struct Waiter {
        std::string table_;
        std::uint64_t after_ = 0;
        PageHandler handler_;
        std::unique_ptr<Timer> timer_;
    };
    struct Change {
        std::string table_;
        StoredRow row_;
    };

    tl::expected<StoreMoment, StoreFailure> apply(const RowTransaction&);
    StoreMoment moment() const;
    std::vector<StoredRow> changesAfter(const std::string& table, std::uint64_t after) const;
    void notify();
    template <typename Function>
    void later(Function);

    boost::asio::io_context& loop_;
    std::map<std::string, std::map<std::string, StoredRow>> tables_;
    /** By table and key. */
    std::map<std::pair<std::string, std::string>, std::string> parts_;
    std::vector<Change> history_;
    std::uint64_t historyFrom_ = 0;
    std::uint64_t version_ = 0;
    std::list<Waiter> waiters_;
    std::vector<RowTransaction> heldBack_;
    std::map<std::string, int> fullReads_;
    int answersToLose_ = 0;
    int commitsToHoldBack_ = 0;
    Duration commitDelay_ {};
    std::list<Timer> delays_;
    bool isSilent_ = false;
    bool refusesWrites_ = false;
    bool areFeedsSilent_ = false;
    int commitsSeen_ = 0;
    bool refuses_ = false;
};

}
