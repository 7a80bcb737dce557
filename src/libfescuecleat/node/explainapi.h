#pragma once

#include "net/asynchttpserver.h"
#include "node/nodecontext.h"
#include "node/poolconfiguration.h"
#include "node/poolcontroller.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fescuecleat {

class AsyncHttpClient;

/**
 * Explains to operators, on the peers' address, where a job would go now and why, without submitting it or
 * changing anything. Only the lease holder knows; other instances pass the question on to it.
 */
class ExplainApi {
public:
    /** Gives access to the parts of the instance that the API reads. */
    struct Dependencies {
        /** The configuration in force; null until one has been read. */
        std::function<std::shared_ptr<const PoolConfiguration>()> configuration_;
        /** The scheduler, or null if this instance doesn't run it. */
        std::function<const PoolController*()> scheduler_;
        /** Address of the instance that runs it, as far as known. */
        std::function<std::optional<SocketAddress>()> holder_;
    };

    ExplainApi(const NodeContext&, AsyncHttpClient&, Dependencies);

    void handle(const ServerRequest&, const AsyncHttpServer::Respond&);

    static constexpr const char* path = "/explain";

private:
    void passOn(const ServerRequest&, const AsyncHttpServer::Respond&);

    NodeContext context_;
    AsyncHttpClient& client_;
    Dependencies dependencies_;
};

}
