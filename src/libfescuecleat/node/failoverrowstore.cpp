#include "node/failoverrowstore.h"

#include "base/bootclock.h"
#include "node/storelayout.h"

namespace fescuecleat {

namespace {

    /** Short enough that starts go on within 0.5 s after an outage of the store. */
    constexpr Duration probeInterval = std::chrono::milliseconds(200);
    /** A slow store answers reads in 240 ms. */
    constexpr Duration probeTimeout = std::chrono::milliseconds(400);
    /** An empty table, whose read is the cheapest call. */
    constexpr const char* probeTable = "probe";
    /** Parts that are probed after a failure; with a few of the store's parts unavailable, another one still answers. */
    constexpr std::size_t probedParts = 3;
    /** No call is sent over the own path after the peers with less time left. */
    constexpr Duration minOwnTimeout = std::chrono::milliseconds(50);

}

FailoverRowStore::FailoverRowStore(boost::asio::io_context& context, RowStore& own, RowStore& peers, JsonEventLog& log)
    : own_(own)
    , peers_(peers)
    , log_(log)
    , probeTimer_(context)
    , parts_(storeParts())
{
}

void FailoverRowStore::noteAnswer()
{
    lastAnswerAt_ = bootTimeNow();
    if (!std::exchange(isOwnPathUp_, true)) {
        probeTimer_.cancel();
        nextOwnAttemptAt_.clear();
        log_.write("store.own_path_regained", nlohmann::json::object());
    }
    notifyListener();
}

void FailoverRowStore::notifyListener() const
{
    if (answerListener_)
        answerListener_();
}

void FailoverRowStore::noteFailure(const StoreFailure& failure)
{
    if (failure.kind_ != StoreFailureKind::Refused && failure.kind_ != StoreFailureKind::OutcomeUnknown)
        return noteAnswer();
    // A single failure doesn't show that the path is down: answers get lost,
    // all feeds end when the store drops its history, a slow store refuses
    // writes of every instance, and parts of it may be unavailable.
    if (isOwnPathUp_)
        probe(probedParts);
}

void FailoverRowStore::probe(std::size_t parts)
{
    if (probesInFlight_ > 0)
        return;
    probesInFlight_ = parts;
    probedAt_ = bootTimeNow();
    for (std::size_t i = 0; i < parts; ++i) {
        const std::string& part = parts_[nextPart_++ % parts_.size()];
        own_.read({ probeTable, part, {}, {} }, probeTimeout, lifetime_.guard([this](const tl::expected<RowPage, StoreFailure>& page) { handleProbe(page); }));
    }
}

void FailoverRowStore::handleProbe(const tl::expected<RowPage, StoreFailure>& page)
{
    --probesInFlight_;
    if (page)
        return noteAnswer();
    if (probesInFlight_ == 0 && lastAnswerAt_ < probedAt_)
        markOwnPathDown(page.error());
}

void FailoverRowStore::markOwnPathDown(const StoreFailure& failure)
{
    if (std::exchange(isOwnPathUp_, false))
        log_.write("store.own_path_lost", { { "cause", storeFailureName(failure.kind_) }, { "detail", failure.message_ } });
    probeTimer_.start(probeInterval, [this] { probe(1); });
}

bool FailoverRowStore::isOwnAttemptDue(const std::string& target)
{
    const Time now = bootTimeNow();
    Time& next = nextOwnAttemptAt_[target];
    if (now < next)
        return false;
    next = now + probeInterval;
    return true;
}

template <typename Answer>
void FailoverRowStore::callOwn(Duration timeout, const Send<Answer>& send, Handler<Answer> handler)
{
    send(own_, timeout, lifetime_.guard([this, handler = std::move(handler)](tl::expected<Answer, StoreFailure> answer) {
        if (answer)
            noteAnswer();
        else
            noteFailure(answer.error());
        handler(std::move(answer));
    }));
}

template <typename Answer>
void FailoverRowStore::call(const std::string& target, Duration timeout, Send<Answer> send, Handler<Answer> handler)
{
    const Time deadline = bootTimeNow() + timeout;
    const auto isRefused = [](const tl::expected<Answer, StoreFailure>& answer) { return !answer && answer.error().kind_ == StoreFailureKind::Refused; };
    if (isOwnPathUp_) {
        return callOwn<Answer>(timeout, send, lifetime_.guard([this, timeout, send, isRefused, handler = std::move(handler)](tl::expected<Answer, StoreFailure> answer) mutable {
            if (!isRefused(answer) || isOwnPathUp_)
                return handler(std::move(answer));
            send(peers_, timeout, std::move(handler));
        }));
    }
    send(peers_, timeout, lifetime_.guard([this, target, deadline, send, isRefused, handler = std::move(handler)](tl::expected<Answer, StoreFailure> answer) mutable {
        const Duration left = remaining(deadline, bootTimeNow());
        if (answer)
            notifyListener();
        if (!isRefused(answer) || left < minOwnTimeout || !isOwnAttemptDue(target))
            return handler(std::move(answer));
        callOwn<Answer>(left, send, std::move(handler));
    }));
}

void FailoverRowStore::commit(RowTransaction transaction, Duration timeout, CommitHandler handler)
{
    const std::string target = "part " + transaction.part_;
    call<StoreTimestamp>(
        target, timeout, [transaction = std::move(transaction)](RowStore& path, Duration limit, CommitHandler done) { path.commit(transaction, limit, std::move(done)); }, std::move(handler));
}

void FailoverRowStore::read(const RowRange& range, Duration timeout, PageHandler handler)
{
    call<RowPage>(
        "part " + range.part_, timeout, [range](RowStore& path, Duration limit, PageHandler done) { path.read(range, limit, std::move(done)); }, std::move(handler));
}

void FailoverRowStore::follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler handler)
{
    call<RowPage>(
        "feed " + table, timeout, [table, after, wait](RowStore& path, Duration limit, PageHandler done) { path.follow(table, after, wait, limit, std::move(done)); }, std::move(handler));
}

}
