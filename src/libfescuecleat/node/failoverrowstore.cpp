#include "node/failoverrowstore.h"

namespace fescuecleat {

namespace {

    constexpr Duration probeInterval = std::chrono::milliseconds(400);
    /** A slow store answers reads in 240 ms. */
    constexpr Duration probeTimeout = std::chrono::milliseconds(400);
    /** An empty table, whose read is the cheapest call. */
    constexpr const char* probeTable = "probe";

}

FailoverRowStore::FailoverRowStore(boost::asio::io_context& context, RowStore& own, RowStore& peers, JsonEventLog& log)
    : own_(own)
    , peers_(peers)
    , log_(log)
    , probeTimer_(context)
{
}

bool FailoverRowStore::handleOwnPathFailure(const StoreFailure& failure)
{
    const bool isRefused = failure.kind_ == StoreFailureKind::Refused;
    // A single failure doesn't show that the path is down: answers get lost,
    // all feeds end when the store drops its history, and a slow store refuses
    // writes of every instance. Only a probe decides.
    if (isRefused || failure.kind_ == StoreFailureKind::OutcomeUnknown)
        probe();
    return isRefused && !isOwnPathUp_;
}

void FailoverRowStore::markOwnPathDown(const StoreFailure& failure)
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
    own_.read({ probeTable, {}, {}, {} }, probeTimeout, lifetime_.guard([this](const tl::expected<RowPage, StoreFailure>& page) {
        isProbing_ = false;
        if (!page)
            return markOwnPathDown(page.error());
        if (!isOwnPathUp_)
            log_.write("store.own_path_regained", { { "version", page->timestamp_.version_ } });
        isOwnPathUp_ = true;
    }));
}

void FailoverRowStore::commit(RowTransaction transaction, Duration timeout, CommitHandler handler)
{
    if (!isOwnPathUp_)
        return peers_.commit(std::move(transaction), timeout, std::move(handler));
    RowTransaction copy = transaction;
    own_.commit(std::move(transaction), timeout, lifetime_.guard([this, copy = std::move(copy), timeout, handler = std::move(handler)](tl::expected<StoreTimestamp, StoreFailure> outcome) mutable {
        if (outcome || !handleOwnPathFailure(outcome.error()))
            return handler(std::move(outcome));
        peers_.commit(std::move(copy), timeout, std::move(handler));
    }));
}

void FailoverRowStore::read(const RowRange& range, Duration timeout, PageHandler handler)
{
    if (!isOwnPathUp_)
        return peers_.read(range, timeout, std::move(handler));
    own_.read(range, timeout, lifetime_.guard([this, range, timeout, handler = std::move(handler)](tl::expected<RowPage, StoreFailure> page) mutable {
        if (page || !handleOwnPathFailure(page.error()))
            return handler(std::move(page));
        peers_.read(range, timeout, std::move(handler));
    }));
}

void FailoverRowStore::follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler handler)
{
    if (!isOwnPathUp_)
        return peers_.follow(table, after, wait, timeout, std::move(handler));
    own_.follow(table, after, wait, timeout, lifetime_.guard([this, table, after, wait, timeout, handler = std::move(handler)](tl::expected<RowPage, StoreFailure> page) mutable {
        if (page || !handleOwnPathFailure(page.error()))
            return handler(std::move(page));
        peers_.follow(table, after, wait, timeout, std::move(handler));
    }));
}

}
