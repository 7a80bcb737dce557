#include "routing/minionprotocol.h"

#include <algorithm>
#include <array>

namespace fescuecleat {

namespace {

    constexpr const char* requestIdHeader = "x-request-id";
    constexpr const char* deadlineHeader = "x-deadline-ms";
    constexpr const char* idempotencyKeyHeader = "idempotency-key";
    constexpr const char* notStartedHeader = "x-not-started";
    constexpr const char* leavingHeader = "x-leaving";
    constexpr int statusServiceUnavailable = 503;

    std::string headerValue(const HttpHeaders& headers, const char* name)
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }

    /** Headers that this protocol or the HTTP library sets itself. */
    bool isReservedHeader(const std::string& name)
    {
        static constexpr std::array<const char*, 9> reserved { requestIdHeader, deadlineHeader, idempotencyKeyHeader, notStartedHeader, leavingHeader,
            "content-length", "transfer-encoding", "connection", "host" };
        return std::any_of(reserved.begin(), reserved.end(), [&](const char* other) { return name == other; });
    }

}

HttpRequest minionRequest(const ServiceRequest& request, Time deadline, Time now)
{
    HttpRequest message;
    message.method_ = "POST";
    message.path_ = "/v1/work";
    message.query_["kind"] = request.kind_;
    for (const auto& [name, value] : request.headers_) {
        if (!isReservedHeader(name))
            message.headers_[name] = value;
    }
    const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(remaining(deadline, now));
    message.headers_[requestIdHeader] = request.id_.value();
    message.headers_[deadlineHeader] = std::to_string(timeLeft.count());
    if (!request.idempotencyKey_.empty())
        message.headers_[idempotencyKeyHeader] = request.idempotencyKey_;
    message.body_ = request.body_;
    return message;
}

AttemptResult classifyResponse(const ServiceRequest& request, const tl::expected<HttpResponse, TransportError>& received)
{
    if (!received) {
        const TransportError& error = received.error();
        if (error.failure_ == TransportFailure::NotSent)
            return NotSent { error.message_ };
        return UnusableAnswer { error.message_ };
    }
    // The id is checked first: a refusal of another request says nothing about this one.
    const std::string echoedId = headerValue(received->headers_, requestIdHeader);
    if (echoedId.empty())
        return UnusableAnswer { "the answer contains no request id" };
    if (echoedId != request.id_.value())
        return UnusableAnswer { "the answer contains the id of another request" };
    if (received->status_ == statusServiceUnavailable && headerValue(received->headers_, notStartedHeader) == "1")
        return NotStarted {};
    return CompleteAnswer { *received };
}

bool reportsLeaving(const HttpResponse& response)
{
    return headerValue(response.headers_, leavingHeader) == "1";
}

}
