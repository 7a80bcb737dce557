#pragma once

#include "net/asynchttpserver.h"
#include "poolstandin.h"

namespace fescuecleat {

/** Serves faults and the audit of a stand-in to the driver of a test. */
class ControlEndpoint {
public:
    ControlEndpoint(boost::asio::io_context&, PoolStandin&);

    Result<void> listen(const SocketAddress& address) { return server_.listen(address); }

private:
    ServerResponse handle(const ServerRequest&);
    Result<void> apply(const ServerRequest&);
    Result<void> restart(const nlohmann::json&);
    Result<void> resize(const nlohmann::json&);
    Result<void> hide(const nlohmann::json&);

    PoolStandin& standin_;
    AsyncHttpServer server_;
};

}
