#pragma once

#include "net/timer.h"
#include "node/jsoneventlog.h"
#include "node/lifetime.h"
#include "node/rowstore.h"
#include "node/storeclock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fescuecleat {

/** A table and the parts to read. */
struct FollowedTable {
    FollowedTable(std::string name, std::vector<std::string> parts = { {} })
        : name_(std::move(name))
        , parts_(std::move(parts))
    {
    }

    std::string name_;
    std::vector<std::string> parts_;
};

/**
 * Follows a table: reads it completely, then follows its changes, and reloads it
 * when the store no longer has the changes needed.
 */
class TableFollower {
public:
    struct Listener {
        /** Receives the complete table after each load. */
        std::function<void(const std::vector<StoredRow>&)> reset_;
        std::function<void(const StoredRow&)> changed_;
        /** Called after each successful answer of the store. */
        std::function<void()> contacted_ = {};
        /**
         * If set, receives the rows of a load as their pages arrive, and `reset_` gets none: other work of the
         * event loop goes on between the pages of a large table.
         */
        std::function<void(const StoredRow&)> loaded_ = {};
    };

    TableFollower(boost::asio::io_context&, RowStore&, StoreClock&, JsonEventLog&, FollowedTable, Duration wait, Listener);

    void start();
    /** Asks again at once and forgets the call without an answer: one that was sent during an outage may never be answered. */
    void refresh();
    /** Sets a pause between two polls, so that frequent changes are received together. There is none after a page that left changes. */
    void setPollPause(Duration pause) { pollPause_ = pause; }
    bool isLoaded() const { return isLoaded_; }
    /** The rows reported so far reflect the table at this local time or later. */
    Time currentAsOf() const { return currentAsOf_; }
    std::uint64_t version() const { return version_; }

private:
    void readPage();
    void followChanges(Duration wait);
    /** Passes a row to a callback of the listener; an exception concerns only this row. */
    void deliver(const std::function<void(const StoredRow&)>& callback, const StoredRow&);
    void handleFailure(const StoreFailure&);
    void handleSuccess(const StoreTimestamp&);

    RowStore& store_;
    StoreClock& clock_;
    JsonEventLog& log_;
    FollowedTable table_;
    Duration wait_;
    Duration pollPause_ {};
    Listener listener_;
    Timer retryTimer_;
    Lifetime lifetime_;

    std::vector<StoredRow> loadingRows_;
    /** Index of the part that is being loaded. */
    std::size_t loadingPart_ = 0;
    /** Last key of that part that was loaded. */
    std::string lastLoadedKey_;
    std::uint64_t version_ = 0;
    bool isLoading_ = false;
    bool isLoaded_ = false;
    bool isInContact_ = false;
    int failures_ = 0;
    /** Number of the newest call; answers of earlier ones are ignored. */
    std::uint64_t call_ = 0;
    Time currentAsOf_ {};
    /** When the first page of the load under way was requested. */
    Time loadAskedAt_ {};
    /** The last poll left changes that are already in the store. */
    bool hasMoreChanges_ = false;
};

}
