#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/httpmessage.h"
#include "settings/settings.h"

namespace fescuecleat {

/** Why a request got no complete response. */
enum class TransportFailure {
    /** The request was not sent; the server can't have seen it. */
    NotSent,
    /** The request was sent, completely or in part; the server may have handled it. */
    NoAnswer,
};

struct TransportError {
    TransportFailure failure_ = TransportFailure::NoAnswer;
    std::string message_;
};

/**
 * Sends HTTP requests. Blocks until the complete response is received or the
 * deadline passes. Thread-safe.
 */
class HttpClient {
public:
    virtual ~HttpClient() = default;

    /**
     * `mayReuse`: a kept-alive connection may be used, over which the request may
     * be sent twice; only for idempotent requests. Otherwise it is sent at most once.
     */
    virtual tl::expected<HttpResponse, TransportError> send(const Address&, const HttpRequest&, Time deadline, bool mayReuse) = 0;
};

}
