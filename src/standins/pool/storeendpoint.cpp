#include "storeendpoint.h"

#include "server/rowstoreserver.h"
#include "server/workerserver.h"
#include "wirenames.h"

namespace fescuecleat {

namespace {

    constexpr std::uint64_t maxBodyBytes = 64 << 20;
    constexpr Duration idleTimeout = std::chrono::minutes(10);
    /** Longer than any caller waits; then the connection is closed, so that none is left over. */
    constexpr Duration abandonedTime = std::chrono::seconds(30);
    /** The callers' own timeouts apply. */
    constexpr Duration storeTimeout = std::chrono::hours(1);

    HttpLimits limits()
    {
        HttpLimits limits;
        limits.maxBodyBytes_ = maxBodyBytes;
        limits.idleTimeout_ = idleTimeout;
        limits.maxConnections_ = 10000;
        return limits;
    }

    ServerResponse closed()
    {
        ServerResponse response;
        response.status_ = 0;
        return response;
    }

}

StoreEndpoint::StoreEndpoint(boost::asio::io_context& loop, FakeRowStore& store)
    : loop_(loop)
    , store_(store)
    , server_(loop, [this](const ServerRequest& request, const AsyncHttpServer::Respond& respond) { handle(request, respond); })
{
    server_.setLimits(limits());
}

void StoreEndpoint::setMode(StoreMode mode)
{
    mode_ = mode;
    store_.setSilent(mode == StoreMode::Silent || mode == StoreMode::Reset);
    store_.setRefusing(mode == StoreMode::Refusing);
}

void StoreEndpoint::setFeedsSilent(bool areSilent)
{
    areFeedsSilent_ = areSilent;
    store_.setFeedsSilent(areSilent);
}

void StoreEndpoint::abandon(const AsyncHttpServer::Respond& respond)
{
    if (mode_ == StoreMode::Reset)
        return respond(closed());
    abandoned_.emplace_back(loop_);
    abandoned_.back().start(abandonedTime, [this, timer = std::prev(abandoned_.end()), respond] {
        respond(closed());
        abandoned_.erase(timer);
    });
}

void StoreEndpoint::answer(const AsyncHttpServer::Respond& respond, std::optional<ServerResponse> response)
{
    // The mode may have changed since the call arrived.
    if (!response || mode_ == StoreMode::Silent || mode_ == StoreMode::Reset)
        return abandon(respond);
    respond(std::move(*response));
}

void StoreEndpoint::handle(const ServerRequest& request, const AsyncHttpServer::Respond& respond)
{
    const std::string path = request.path_.substr(0, request.path_.find('?'));
    if (request.method_ == "POST" && path == wire::storeCommitPath)
        return commit(request, respond);
    if (request.method_ == "GET" && path == wire::storeReadPath)
        return read(request, respond);
    if (request.method_ == "GET" && path == wire::storeFeedPath)
        return follow(request, respond);
    ServerResponse response;
    response.status_ = 404;
    respond(std::move(response));
}

void StoreEndpoint::commit(const ServerRequest& request, const AsyncHttpServer::Respond& respond)
{
    auto transaction = rowstoreserver::decodeTransaction(request.body_);
    if (!transaction)
        return answer(respond, workerserver::malformed(transaction.error()));
    store_.commit(*transaction, storeTimeout, [this, transaction = *transaction, respond](const tl::expected<StoreTimestamp, StoreFailure>& outcome) {
        answer(respond, rowstoreserver::encodeCommitAnswer(transaction, outcome));
    });
}

void StoreEndpoint::read(const ServerRequest& request, const AsyncHttpServer::Respond& respond)
{
    const auto range = rowstoreserver::decodeRange(request.path_);
    if (!range)
        return answer(respond, workerserver::malformed(range.error()));
    store_.read(*range, storeTimeout, [this, range = *range, respond](const tl::expected<RowPage, StoreFailure>& page) {
        answer(respond, rowstoreserver::encodePageAnswer(range.table_, range.part_, page));
    });
}

void StoreEndpoint::follow(const ServerRequest& request, const AsyncHttpServer::Respond& respond)
{
    const auto feed = rowstoreserver::decodeFeed(request.path_);
    if (!feed)
        return answer(respond, workerserver::malformed(feed.error()));
    store_.follow(feed->table_, feed->after_, feed->wait_, storeTimeout, [this, table = feed->table_, respond](const tl::expected<RowPage, StoreFailure>& page) {
        if (areFeedsSilent_)
            return abandon(respond);
        answer(respond, rowstoreserver::encodeFeedAnswer(table, page));
    });
}

}
