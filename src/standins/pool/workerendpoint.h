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
    /** The worker as its callers know it. */
    WorkerInfo info() const;

    const ModelWorkers& workers_;
    PoolWorkerClient& client_;
    std::string id_;
    SocketAddress address_;
    bool isListening_ = false;
    AsyncHttpServer server_;
};

}
