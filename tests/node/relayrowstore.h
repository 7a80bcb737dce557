#pragma once

#include "poolmodel/fakerowstore.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace fescuecleat {

/** How a store that is out of order treats an instance. */
enum class StoreFault {
    /** Neither applies nor answers calls. */
    Silent,
    /** Closes the connections of all calls and applies none. */
    Resetting,
    /** Answers that it has applied nothing. */
    Refusing,
    /** Takes 240 ms for a read and 300 ms for each transaction, one after the other. */
    Slow,
};

/** An instance's path to a store that runs on another event loop; it can be disturbed. */
class RelayRowStore : public RowStore {
public:
    using ScheduleFunction = std::function<void(Time, std::function<void()>)>;

    /** `schedule` runs a callback at a time, outside of the instance's loop. */
    RelayRowStore(FakeRowStore&, const std::shared_ptr<boost::asio::io_context>& loop, ScheduleFunction schedule);

    void commit(RowTransaction, Duration timeout, CommitHandler) override;
    void read(const RowRange&, Duration timeout, PageHandler) override;
    void follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler) override;

    /** The path is silent until then; calls that are sent meanwhile are never answered. */
    void setCutUntil(Time until) { setFault(StoreFault::Silent, until); }
    /** Calls that wait for an answer meet the fault as well. */
    void setFault(StoreFault, Time until);

private:
    bool has(StoreFault) const;
    /** Calls the store after the delay that a slow one has. */
    void execute(Duration slowDelay, std::function<void()> call);
    /** Returns a handler that delivers the answer on the instance's loop, or a failure after the timeout. */
    template <typename Answer>
    std::function<void(tl::expected<Answer, StoreFailure>)> relay(Duration timeout, std::function<void(tl::expected<Answer, StoreFailure>)> handler);

    FakeRowStore& store_;
    std::weak_ptr<boost::asio::io_context> loop_;
    ScheduleFunction schedule_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    StoreFault fault_ = StoreFault::Silent;
    Time faultUntil_ {};
    /** When a slow store has done the transactions that it has received. */
    Time slowCommitsDoneAt_ {};
    /** Calls that may wait for an answer, and how to fail them. */
    std::vector<std::pair<std::weak_ptr<void>, std::function<void(StoreFailureKind)>>> waiting_;
};

}
