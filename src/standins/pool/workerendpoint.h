#pragma once

#include "net/asynchttpserver.h"
#include "poolmodel/modelworkers.h"

#include <optional>
#include <string>

namespace fescuecleat {

/** Serves one worker of the model to the instances; while the worker is down, its address is too. */
class WorkerEndpoint {
public:
    WorkerEndpoint(boost::asio::io_context&, const ModelWorkers&, PoolWorkerClient&, std::string id, SocketAddress);

    /** Starts or stops listening if the worker came up or went down. */
    Result<void> update();
    const std::string& id() const { return id_; }
    const SocketAddress& address() const { return address_; }

private:
    void handle(const ServerRequest&, const AsyncHttpServer::Respond&);
    /** An incarnation of the worker as its callers name it. */
    WorkerInfo infoOf(std::int64_t incarnation) const;
    /** The incarnation that a scheduler with this epoch addresses; 0 if it may not know of the one that is up. */
    std::int64_t addressedBy(std::int64_t epoch) const;
    void noteReport(std::int64_t epoch, std::int64_t incarnation);
    void notePoll(std::int64_t epoch);

    /** An incarnation that has reported to the scheduler with an epoch. */
    struct Acquaintance {
        std::int64_t epoch_ = 0;
        std::int64_t incarnation_ = 0;
        /** From then on, the scheduler starts nothing that it decided before it received the report. */
        Time knownFrom_ = Time::max();
    };

    const ModelWorkers& workers_;
    PoolWorkerClient& client_;
    std::string id_;
    SocketAddress address_;
    bool isListening_ = false;
    Acquaintance acquaintance_;
    AsyncHttpServer server_;
};

}
