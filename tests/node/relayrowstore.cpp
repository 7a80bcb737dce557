#include "node/relayrowstore.h"

#include "base/bootclock.h"

#include <boost/asio/post.hpp>

namespace fescuecleat {

namespace {

    void setTimes(StoreTimestamp& timestamp, Time askedAt)
    {
        timestamp.askedAt_ = askedAt;
        timestamp.answeredAt_ = bootTimeNow();
    }

    void setTimes(RowPage& page, Time askedAt)
    {
        setTimes(page.timestamp_, askedAt);
    }

}

RelayRowStore::RelayRowStore(FakeRowStore& store, const std::shared_ptr<boost::asio::io_context>& loop, ScheduleFunction schedule)
    : store_(store)
    , loop_(loop)
    , schedule_(std::move(schedule))
{
}

template <typename Answer>
std::function<void(tl::expected<Answer, StoreFailure>)> RelayRowStore::relay(Duration timeout, std::function<void(tl::expected<Answer, StoreFailure>)> handler)
{
    const Time askedAt = bootTimeNow();
    const auto pending = std::make_shared<std::function<void(tl::expected<Answer, StoreFailure>)>>(std::move(handler));
    const auto finish = [loop = loop_, pending, askedAt](tl::expected<Answer, StoreFailure> answer) {
        const auto target = loop.lock();
        if (!target || !*pending)
            return;
        boost::asio::post(*target, [handler = std::exchange(*pending, nullptr), askedAt, answer = std::move(answer)]() mutable {
            if (answer)
                setTimes(*answer, askedAt);
            handler(std::move(answer));
        });
    };
    schedule_(askedAt + timeout, [finish] { finish(tl::unexpected<StoreFailure>({ StoreFailureKind::OutcomeUnknown, {}, "timeout" })); });
    return [finish, this, alive = std::weak_ptr<bool>(alive_)](tl::expected<Answer, StoreFailure> answer) {
        if (alive.lock() && cutUntil_ <= bootTimeNow())
            finish(std::move(answer));
    };
}

void RelayRowStore::commit(RowTransaction transaction, Duration timeout, CommitHandler handler)
{
    auto answer = relay<StoreTimestamp>(timeout, std::move(handler));
    if (cutUntil_ <= bootTimeNow())
        store_.commit(std::move(transaction), timeout, std::move(answer));
}

void RelayRowStore::read(const RowRange& range, Duration timeout, PageHandler handler)
{
    auto answer = relay<RowPage>(timeout, std::move(handler));
    if (cutUntil_ <= bootTimeNow())
        store_.read(range, timeout, std::move(answer));
}

void RelayRowStore::follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler handler)
{
    auto answer = relay<RowPage>(timeout, std::move(handler));
    if (cutUntil_ <= bootTimeNow())
        store_.follow(table, after, wait, timeout, std::move(answer));
}

}
