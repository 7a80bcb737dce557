#pragma once

#include "poolmodel/fakerowstore.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace fescuecleat {

/** An instance's path to a store that runs on another event loop; it can be cut. */
class RelayRowStore : public RowStore {
public:
    using ScheduleFunction = std::function<void(Time, std::function<void()>)>;

    /** `schedule` runs a callback at a time, outside of the instance's loop. */
    RelayRowStore(FakeRowStore&, const std::shared_ptr<boost::asio::io_context>& loop, ScheduleFunction schedule);

    void commit(RowTransaction, Duration timeout, CommitHandler) override;
    void read(const RowRange&, Duration timeout, PageHandler) override;
    void follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler) override;

    void setCutUntil(Time until) { cutUntil_ = until; }

private:
    /** Returns a handler that delivers the answer on the instance's loop, or a failure after the timeout. */
    template <typename Answer>
    std::function<void(tl::expected<Answer, StoreFailure>)> relay(Duration timeout, std::function<void(tl::expected<Answer, StoreFailure>)> handler);

    FakeRowStore& store_;
    std::weak_ptr<boost::asio::io_context> loop_;
    ScheduleFunction schedule_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Time cutUntil_ {};
};

}
