#include "node/peerdirectory.h"

#include "base/bootclock.h"
#include "node/storelayout.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    constexpr const char* instancesTable = "instances";
    constexpr Duration storeTimeout = std::chrono::milliseconds(1000);
    constexpr Duration retryDelay = std::chrono::milliseconds(500);
    constexpr Duration refreshInterval = std::chrono::seconds(4);

}

PeerDirectory::PeerDirectory(const NodeContext& context)
    : context_(context)
    , registrationTimer_(context.loop_)
    , refreshTimer_(context.loop_)
    , rotationOffset_(std::hash<std::string>()(context.settings_.instance_))
{
}

void PeerDirectory::start()
{
    registerSelf();
    refresh();
}

void PeerDirectory::registerSelf()
{
    RowTransaction transaction;
    transaction.part_ = instancesPart;
    transaction.writes_.push_back({ instancesTable, context_.settings_.instance_, toString(context_.settings_.peers_) });
    context_.store_.commit(std::move(transaction), storeTimeout, lifetime_.guard([this](const tl::expected<StoreTimestamp, StoreFailure>& outcome) {
        if (!outcome)
            registrationTimer_.start(retryDelay, [this] { registerSelf(); });
    }));
}

void PeerDirectory::unregisterSelf()
{
    RowTransaction transaction;
    transaction.part_ = instancesPart;
    transaction.deletions_.push_back({ instancesTable, context_.settings_.instance_ });
    // No retry: a leftover row only names an instance that doesn't answer.
    context_.store_.commit(std::move(transaction), storeTimeout, [](const tl::expected<StoreTimestamp, StoreFailure>&) {});
}

void PeerDirectory::refresh()
{
    context_.store_.read({ instancesTable, instancesPart, {}, {} }, storeTimeout, lifetime_.guard([this](const tl::expected<RowPage, StoreFailure>& page) {
        if (page) {
            peers_.clear();
            for (const StoredRow& row : page->rows_) {
                const Result<SocketAddress> address = parseSocketAddress(row.value_);
                if (row.key_ == context_.settings_.instance_)
                    continue;
                if (address)
                    peers_[row.key_] = *address;
                else
                    context_.log_.write("peer.unreadable", { { "peer", row.key_ }, { "version", row.version_ } });
            }
        }
        refreshTimer_.start(refreshInterval, [this] { refresh(); });
    }));
}

std::vector<SocketAddress> PeerDirectory::candidates() const
{
    std::vector<SocketAddress> result;
    for (const auto& [name, address] : peers_)
        result.push_back(address);
    if (result.empty())
        return result;
    std::rotate(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(rotationOffset_ % result.size()), result.end());
    const auto lastFailure = [this](const SocketAddress& address) {
        const auto failed = failedAt_.find(address);
        return failed == failedAt_.end() ? Time {} : failed->second;
    };
    std::stable_sort(result.begin(), result.end(), [&lastFailure](const SocketAddress& left, const SocketAddress& right) { return lastFailure(left) < lastFailure(right); });
    return result;
}

std::optional<SocketAddress> PeerDirectory::addressOf(const std::string& instance) const
{
    const auto peer = peers_.find(instance);
    if (peer == peers_.end())
        return std::nullopt;
    return peer->second;
}

void PeerDirectory::markFailed(const SocketAddress& address)
{
    failedAt_[address] = bootTimeNow();
}

void PeerDirectory::markReachable(const SocketAddress& address)
{
    failedAt_.erase(address);
}

}
