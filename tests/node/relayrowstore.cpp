#include "node/relayrowstore.h"

#include "base/bootclock.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace fescuecleat {

namespace {

    constexpr Duration slowReadTime = std::chrono::milliseconds(240);
    constexpr Duration slowCommitTime = std::chrono::milliseconds(300);

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
    using Outcome = tl::expected<Answer, StoreFailure>;
    const Time askedAt = bootTimeNow();
    const auto pending = std::make_shared<std::function<void(Outcome)>>(std::move(handler));
    const auto finish = [loop = loop_, askedAt](const std::shared_ptr<std::function<void(Outcome)>>& call, Outcome answer) {
        const auto target = loop.lock();
        if (!target || !call || !*call)
            return;
        boost::asio::post(*target, [handler = std::exchange(*call, nullptr), askedAt, answer = std::move(answer)]() mutable {
            if (answer)
                setTimes(*answer, askedAt);
            handler(std::move(answer));
        });
    };
    const auto fail = [finish, call = std::weak_ptr<std::function<void(Outcome)>>(pending)](StoreFailureKind kind) {
        finish(call.lock(), tl::unexpected<StoreFailure>({ kind, {}, "the model's store" }));
    };
    schedule_(askedAt + timeout, [fail, pending] { fail(StoreFailureKind::OutcomeUnknown); });
    if (has(StoreFault::Resetting))
        fail(StoreFailureKind::OutcomeUnknown);
    else if (has(StoreFault::Refusing))
        fail(StoreFailureKind::Refused);
    const auto isDone = [](const auto& call) { return call.first.expired(); };
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), isDone), waiting_.end());
    waiting_.emplace_back(pending, fail);
    return [finish, pending, this, alive = std::weak_ptr<bool>(alive_)](Outcome answer) {
        if (alive.lock() && !has(StoreFault::Silent) && !has(StoreFault::Resetting))
            finish(pending, std::move(answer));
    };
}

void RelayRowStore::setFault(StoreFault fault, Time until)
{
    fault_ = fault;
    faultUntil_ = until;
    if (!has(StoreFault::Resetting))
        return;
    for (const auto& [call, fail] : std::exchange(waiting_, {}))
        fail(StoreFailureKind::OutcomeUnknown);
}

bool RelayRowStore::has(StoreFault fault) const
{
    return fault_ == fault && bootTimeNow() < faultUntil_;
}

void RelayRowStore::execute(Duration slowDelay, std::function<void()> call)
{
    if (has(StoreFault::Silent) || has(StoreFault::Resetting) || has(StoreFault::Refusing))
        return;
    if (!has(StoreFault::Slow))
        return call();
    schedule_(bootTimeNow() + slowDelay, [call = std::move(call), alive = std::weak_ptr<bool>(alive_)] {
        if (alive.lock())
            call();
    });
}

void RelayRowStore::commit(RowTransaction transaction, Duration timeout, CommitHandler handler)
{
    auto answer = relay<StoreTimestamp>(timeout, std::move(handler));
    const Time now = bootTimeNow();
    if (has(StoreFault::Slow))
        slowCommitsDoneAt_ = std::max(slowCommitsDoneAt_, now) + slowCommitTime;
    execute(slowCommitsDoneAt_ - now, [this, transaction = std::move(transaction), timeout, answer = std::move(answer)] { store_.commit(transaction, timeout, answer); });
}

void RelayRowStore::read(const RowRange& range, Duration timeout, PageHandler handler)
{
    auto answer = relay<RowPage>(timeout, std::move(handler));
    execute(slowReadTime, [this, range, timeout, answer = std::move(answer)] { store_.read(range, timeout, answer); });
}

void RelayRowStore::follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler handler)
{
    auto answer = relay<RowPage>(timeout, std::move(handler));
    execute(slowReadTime, [this, table, after, wait, timeout, answer = std::move(answer)] { store_.follow(table, after, wait, timeout, answer); });
}

}
