#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/httpmessage.h"
#include "settings/settings.h"

namespace fescuecleat {

/** How a request that got no whole answer ended. */
enum class TransportFailure {
    /** The request never left this process. */
    NotSent,
    /** It was sent, wholly or partly, and no whole answer came. */
    NoAnswer,
};

struct TransportError {
    TransportFailure failure_ = TransportFailure::NoAnswer;
    std::string message_;
};

/**
 * Sends HTTP requests, each exactly once. Blocks until the whole answer is
 * there or the deadline passed. Thread-safe.
 */
class HttpClient {
public:
    virtual ~HttpClient() = default;

    /** `mayReuse`: a kept-alive connection may be used; only for idempotent requests. */
    virtual tl::expected<HttpResponse, TransportError> send(const Address&, const HttpRequest&, Time deadline, bool mayReuse) = 0;
};

}
