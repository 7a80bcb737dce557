#pragma once

#include "net/timer.h"
#include "node/jsoneventlog.h"
#include "node/lifetime.h"
#include "node/rowstore.h"
#include "node/storeclock.h"

#include <functional>
#include <string>
#include <vector>

namespace fescuecleat {

/** A table and the parts that its rows lie in. */
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
 * Follows a table: reads it whole, then its changes. Reads it again when its
 * history is gone. Each answer proves contact with the store.
 */
class TableFollower {
public:
    struct Listener {
        /** The whole table. */
        std::function<void(const std::vector<StoredRow>&)> reset_;
        std::function<void(const StoredRow&)> changed_;
        /** After each answer of the store. */
        std::function<void()> contact_;
    };

    TableFollower(boost::asio::io_context&, RowStore&, StoreClock&, JsonEventLog&, FollowedTable, Duration wait, Listener);

    void start();
    /** Lets changes gather between two polls, where many rows change all the time. */
    void setPause(Duration pause) { pause_ = pause; }
    bool isLoaded() const { return isLoaded_; }
    /** What we know was so at this moment or later. */
    Time provenAt() const { return provenAt_; }
    std::uint64_t version() const { return version_; }

private:
    void readPage();
    void followChanges();
    void failed(const StoreFailure&);
    void succeeded(const StoreMoment&);

    RowStore& store_;
    StoreClock& clock_;
    JsonEventLog& log_;
    FollowedTable table_;
    Duration wait_;
    Duration pause_ {};
    Listener listener_;
    Timer retry_;
    Lifetime lifetime_;

    std::vector<StoredRow> loading_;
    /** The part that is being read. */
    std::size_t loadingPart_ = 0;
    /** The last key of that part that was read. */
    std::string loadedKey_;
    std::uint64_t version_ = 0;
    bool isLoading_ = false;
    bool isLoaded_ = false;
    bool isInContact_ = false;
    int failures_ = 0;
    Time provenAt_ {};
};

}
