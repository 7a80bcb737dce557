#pragma once

#include "base/time.h"
#include "settings/settings.h"

#include <cstddef>
#include <memory>
#include <string>

namespace fescuecleat {

class HttpHandler;

/** Limits of an HTTP server, and its certificate. */
struct HttpServerLimits {
    /** Requests handled at the same time; further ones wait. */
    unsigned threads_ = 20;
    /** Largest request body in bytes. */
    std::size_t maxBodyBytes_ = 4U << 20U;
    /** The connection is closed if a request's header or body stalls for this long. */
    Duration readTimeout_ { std::chrono::seconds(5) };
    /** Idle kept-alive connections are closed after this time. */
    Duration idleTimeout_ { std::chrono::seconds(30) };
    /** Paths of PEM files; empty for plain HTTP. */
    std::string tlsCertificate_;
    std::string tlsPrivateKey_;
};

/**
 * Serves HTTP at one address until it is destroyed. Rejects requests with
 * ambiguous framing or too large bodies before the handler sees them.
 */
class HttpServer {
public:
    /** Starts to listen; throws std::runtime_error if the address is in use. */
    HttpServer(const Address&, HttpHandler&, const HttpServerLimits& = {});
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** Number of requests being handled. */
    int requestsInProgress() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
