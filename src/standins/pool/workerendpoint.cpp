#include "workerendpoint.h"

#include "server/workerserver.h"
#include "wirenames.h"

namespace fescuecleat {

namespace {

    constexpr Duration idleTimeout = std::chrono::minutes(10);
    /** Longer than any caller waits; a request without an answer by then gets none. */
    constexpr Duration answerTimeout = std::chrono::seconds(10);

    HttpLimits limits()
    {
        HttpLimits limits;
        limits.maxBodyBytes_ = 1 << 20;
        limits.idleTimeout_ = idleTimeout;
        return limits;
    }

    /** An empty answer closes the connection. */
    ServerResponse orClosed(std::optional<ServerResponse> response)
    {
        if (response)
            return std::move(*response);
        ServerResponse closed;
        closed.status_ = 0;
        return closed;
    }

}

WorkerEndpoint::WorkerEndpoint(boost::asio::io_context& loop, const ModelWorkers& workers, PoolWorkerClient& client, std::string id, SocketAddress address)
    : workers_(workers)
    , client_(client)
    , id_(std::move(id))
    , address_(std::move(address))
    , server_(loop, [this](const ServerRequest& request, const AsyncHttpServer::Respond& respond) { handle(request, respond); })
{
    server_.setLimits(limits());
}

Result<void> WorkerEndpoint::update()
{
    const bool isUp = workers_.isUp(id_);
    if (isUp == isListening_)
        return {};
    server_.stopListening();
    isListening_ = false;
    if (!isUp)
        return {};
    const auto listening = server_.listen(address_);
    isListening_ = listening.has_value();
    return listening;
}

WorkerInfo WorkerEndpoint::info() const
{
    WorkerInfo info;
    // Requests name only the worker's id, so the incarnation that is up counts as the one that
    // was addressed. A start that crosses a restart is therefore judged by the new worker's kind.
    info.key_ = { id_, workers_.born(id_) };
    return info;
}

void WorkerEndpoint::handle(const ServerRequest& request, const AsyncHttpServer::Respond& respond)
{
    // A connection from before the worker went down.
    if (!workers_.isUp(id_))
        return respond(orClosed(std::nullopt));
    if (request.header(wire::targetWorkerHeader) != id_)
        return respond(workerserver::otherWorker());
    if (request.method_ == "POST" && request.path_ == wire::workerPollPath) {
        const auto poll = workerserver::decodePoll(request.body_);
        if (!poll)
            return respond(workerserver::malformed(poll.error()));
        return client_.poll(info(), *poll, poll->wait_ + answerTimeout, [respond](const auto& answer) { respond(orClosed(workerserver::encodePollAnswer(answer))); });
    }
    if (request.method_ == "POST" && request.path_ == wire::workerStartPath) {
        const auto start = workerserver::decodeStart(request.body_);
        if (!start)
            return respond(workerserver::malformed(start.error()));
        return client_.start(info(), *start, answerTimeout, [respond](const auto& answer) { respond(orClosed(workerserver::encodeStartAnswer(answer))); });
    }
    if (request.method_ == "POST" && request.path_ == wire::workerStopPath) {
        const auto stop = workerserver::decodeStop(request.body_);
        if (!stop)
            return respond(workerserver::malformed(stop.error()));
        return client_.stop(info(), *stop, answerTimeout, [respond](const auto& answer) { respond(orClosed(workerserver::encodeStopAnswer(answer))); });
    }
    ServerResponse response;
    response.status_ = 404;
    respond(std::move(response));
}

}
