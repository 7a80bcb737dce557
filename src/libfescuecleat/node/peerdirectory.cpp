#include "node/peerdirectory.h"

#include "node/nodeclock.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    constexpr const char* instancesTable = "instances";
    constexpr Duration storeTimeLimit = std::chrono::milliseconds(1000);
    constexpr Duration retryDelay = std::chrono::milliseconds(500);
    constexpr Duration refreshInterval = std::chrono::seconds(4);

}

PeerDirectory::PeerDirectory(const NodeContext& context)
    : context_(context)
    , announceTimer_(context.loop_)
    , refreshTimer_(context.loop_)
    , offset_(std::hash<std::string>()(context.settings_.instance_))
{
}

void PeerDirectory::start()
{
    announce();
    refresh();
}

void PeerDirectory::announce()
{
    RowTransaction transaction;
    transaction.writes_.push_back({ instancesTable, context_.settings_.instance_, toString(context_.settings_.peers_) });
    context_.store_.commit(std::move(transaction), storeTimeLimit, lifetime_.guard([this](const tl::expected<StoreMoment, StoreFailure>& outcome) {
        if (!outcome)
            announceTimer_.start(retryDelay, [this] { announce(); });
    }));
}

void PeerDirectory::leave()
{
    RowTransaction transaction;
    transaction.deletions_.push_back({ instancesTable, context_.settings_.instance_ });
    // If it fails, the row names an instance that doesn't answer.
    context_.store_.commit(std::move(transaction), storeTimeLimit, [](const tl::expected<StoreMoment, StoreFailure>&) {});
}

void PeerDirectory::refresh()
{
    context_.store_.read({ instancesTable, {}, {}, {} }, storeTimeLimit, lifetime_.guard([this](const tl::expected<RowPage, StoreFailure>& page) {
        if (page) {
            peers_.clear();
            for (const StoredRow& row : page->rows_) {
                const Result<SocketAddress> endpoint = parseSocketAddress(row.value_);
                if (row.key_ == context_.settings_.instance_)
                    continue;
                if (endpoint)
                    peers_[row.key_] = *endpoint;
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
    for (const auto& [name, endpoint] : peers_)
        result.push_back(endpoint);
    if (result.empty())
        return result;
    std::rotate(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(offset_ % result.size()), result.end());
    const auto lastFailure = [this](const SocketAddress& endpoint) {
        const auto failed = failedAt_.find(endpoint);
        return failed == failedAt_.end() ? Time {} : failed->second;
    };
    std::stable_sort(result.begin(), result.end(), [&lastFailure](const SocketAddress& left, const SocketAddress& right) { return lastFailure(left) < lastFailure(right); });
    return result;
}

std::optional<SocketAddress> PeerDirectory::endpointOf(const std::string& instance) const
{
    const auto peer = peers_.find(instance);
    if (peer == peers_.end())
        return std::nullopt;
    return peer->second;
}

void PeerDirectory::failed(const SocketAddress& endpoint)
{
    failedAt_[endpoint] = bootTimeNow();
}

void PeerDirectory::answered(const SocketAddress& endpoint)
{
    failedAt_.erase(endpoint);
}

}
