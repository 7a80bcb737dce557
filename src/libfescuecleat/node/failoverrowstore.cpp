#include "node/failoverrowstore.h"

namespace fescuecleat {

namespace {

    constexpr Duration probeInterval = std::chrono::milliseconds(400);
    /** Well above the answers of a slow store, 240 ms. */
    constexpr Duration probeTimeLimit = std::chrono::milliseconds(400);
    /** An empty table: its read is the cheapest call. */
    constexpr const char* probeTable = "probe";

}

FailoverRowStore::FailoverRowStore(boost::asio::io_context& context, RowStore& own, RowStore& peers, JsonEventLog& log)
    : own_(own)
    , peers_(peers)
    , log_(log)
    , probeTimer_(context)
{
}

bool FailoverRowStore::noteFailure(const StoreFailure& failure)
{
    const bool isRefused = failure.kind_ == StoreFailureKind::Refused;
    // Only a probe tells more: single answers get lost, all feeds are cut when
    // history is dropped, and a slow store refuses writes of whoever asks.
    if (isRefused || failure.kind_ == StoreFailureKind::OutcomeUnknown)
        probe();
    return isRefused && !isOwnPathUp_;
}

void FailoverRowStore::losePath(const StoreFailure& failure)
{
    if (isOwnPathUp_)
        log_.write("store.own_path_lost", { { "cause", storeFailureName(failure.kind_) }, { "detail", failure.message_ } });
    isOwnPathUp_ = false;
    if (!isProbing_)
        probeTimer_.start(probeInterval, [this] { probe(); });
}

void FailoverRowStore::probe()
{
    if (isProbing_)
        return;
    isProbing_ = true;
    own_.read({ probeTable, {}, {}, {} }, probeTimeLimit, lifetime_.guard([this](const tl::expected<RowPage, StoreFailure>& page) {
        isProbing_ = false;
        if (!page)
            return losePath(page.error());
        if (!isOwnPathUp_)
            log_.write("store.own_path_regained", { { "version", page->moment_.version_ } });
        isOwnPathUp_ = true;
    }));
}

void FailoverRowStore::commit(RowTransaction transaction, Duration timeLimit, CommitHandler handler)
{
    if (!isOwnPathUp_)
        return peers_.commit(std::move(transaction), timeLimit, std::move(handler));
    RowTransaction copy = transaction;
    own_.commit(std::move(transaction), timeLimit, lifetime_.guard([this, copy = std::move(copy), timeLimit, handler = std::move(handler)](tl::expected<StoreMoment, StoreFailure> outcome) mutable {
        if (outcome || !noteFailure(outcome.error()))
            return handler(std::move(outcome));
        peers_.commit(std::move(copy), timeLimit, std::move(handler));
    }));
}

void FailoverRowStore::read(const RowRange& range, Duration timeLimit, PageHandler handler)
{
    if (!isOwnPathUp_)
        return peers_.read(range, timeLimit, std::move(handler));
    own_.read(range, timeLimit, lifetime_.guard([this, range, timeLimit, handler = std::move(handler)](tl::expected<RowPage, StoreFailure> page) mutable {
        if (page || !noteFailure(page.error()))
            return handler(std::move(page));
        peers_.read(range, timeLimit, std::move(handler));
    }));
}

void FailoverRowStore::follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeLimit, PageHandler handler)
{
    if (!isOwnPathUp_)
        return peers_.follow(table, after, wait, timeLimit, std::move(handler));
    own_.follow(table, after, wait, timeLimit, lifetime_.guard([this, table, after, wait, timeLimit, handler = std::move(handler)](tl::expected<RowPage, StoreFailure> page) mutable {
        if (page || !noteFailure(page.error()))
            return handler(std::move(page));
        peers_.follow(table, after, wait, timeLimit, std::move(handler));
    }));
}

}
