#pragma once

#include "base/time.h"
#include "settings/settings.h"

#include <cstddef>
#include <memory>
#include <string>

namespace fescuecleat {

class HttpHandler;

/** Limits of an HTTP server on what it takes from outside. */
struct HttpServerLimits {
    /** Requests that are handled at the same time; further ones wait. */
    unsigned threads_ = 20;
    /** Largest request body in bytes. */
    std::size_t bodyBytes_ = 4U << 20U;
    /** A request whose header or body stalls this long is dropped. */
    Duration readTime_ { std::chrono::seconds(5) };
    /** An idle kept-alive connection is closed after this time. */
    Duration idleTime_ { std::chrono::seconds(30) };
    /** PEM files; empty: no TLS. */
    std::string tlsCertificate_;
    std::string tlsPrivateKey_;
};

/**
 * Serves HTTP at one address until it is destroyed. Refuses requests whose
 * framing is ambiguous or too large before the handler sees them.
 */
class HttpServer {
public:
    /** Listens at once; throws std::runtime_error if the address is taken. */
    HttpServer(const Address&, HttpHandler&, const HttpServerLimits& = {});
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** Requests that are being handled now. */
    int requestsInProgress() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
