#include "workerendpoint.h"

#include "base/bootclock.h"
#include "server/workerserver.h"
#include "wirenames.h"

namespace fescuecleat {

namespace {

    constexpr Duration idleTimeout = std::chrono::minutes(10);
    /** Longer than any caller waits; a request without an answer by then gets none. */
    constexpr Duration answerTimeout = std::chrono::seconds(10);
    /** Covers a start that was sent before the poll, over another connection. */
    constexpr Duration startTransit = std::chrono::milliseconds(100);

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
    auto listening = server_.listen(address_);
    isListening_ = listening.has_value();
    return listening;
}

WorkerInfo WorkerEndpoint::infoOf(std::int64_t incarnation) const
{
    WorkerInfo info;
    info.key_ = { id_, incarnation };
    return info;
}

void WorkerEndpoint::noteReport(std::int64_t epoch, std::int64_t incarnation)
{
    if (acquaintance_.epoch_ != epoch || acquaintance_.incarnation_ != incarnation)
        acquaintance_ = { epoch, incarnation, Time::max() };
}

void WorkerEndpoint::notePoll(std::int64_t epoch)
{
    // Schedulers poll again when they have received the former report, which a paused one does much later.
    const bool hasReported = acquaintance_.epoch_ == epoch && acquaintance_.incarnation_ == workers_.born(id_);
    if (hasReported && acquaintance_.knownFrom_ == Time::max())
        acquaintance_.knownFrom_ = bootTimeNow() + startTransit;
}

std::int64_t WorkerEndpoint::addressedBy(std::int64_t epoch) const
{
    // Requests name only the worker's id. Whoever hasn't received a report of the new incarnation
    // can't know that the id now names a worker of another kind; that is no wrong route.
    const std::int64_t incarnation = workers_.born(id_);
    const bool isKnown = acquaintance_.epoch_ == epoch && acquaintance_.incarnation_ == incarnation && acquaintance_.knownFrom_ <= bootTimeNow();
    return isKnown ? incarnation : 0;
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
        notePoll(poll->epoch_);
        return client_.poll(infoOf(workers_.born(id_)), *poll, poll->wait_ + answerTimeout, [this, respond, epoch = poll->epoch_](const auto& answer) {
            if (answer)
                noteReport(epoch, answer->startedUnixMs_);
            respond(orClosed(workerserver::encodePollAnswer(answer)));
        });
    }
    if (request.method_ == "POST" && request.path_ == wire::workerStartPath) {
        const auto start = workerserver::decodeStart(request.body_);
        if (!start)
            return respond(workerserver::malformed(start.error()));
        return client_.start(infoOf(addressedBy(start->epoch_)), *start, answerTimeout, [respond](const auto& answer) { respond(orClosed(workerserver::encodeStartAnswer(answer))); });
    }
    if (request.method_ == "POST" && request.path_ == wire::workerStopPath) {
        const auto stop = workerserver::decodeStop(request.body_);
        if (!stop)
            return respond(workerserver::malformed(stop.error()));
        return client_.stop(infoOf(workers_.born(id_)), *stop, answerTimeout, [respond](const auto& answer) { respond(orClosed(workerserver::encodeStopAnswer(answer))); });
    }
    ServerResponse response;
    response.status_ = 404;
    respond(std::move(response));
}

}
