#include "routing/minionprotocol.h"

#include <algorithm>
#include <array>

namespace fescuecleat {

namespace {

    constexpr const char* idField = "x-request-id";
    constexpr const char* deadlineField = "x-deadline-ms";
    constexpr const char* keyField = "idempotency-key";
    constexpr const char* notStartedField = "x-not-started";
    constexpr const char* leavingField = "x-leaving";
    constexpr int statusUnavailable = 503;

    std::string field(const HttpHeaders& headers, const char* name)
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }

    /** Fields that this protocol or the HTTP library sets itself. */
    bool isReserved(const std::string& name)
    {
        static constexpr std::array<const char*, 9> reserved { idField, deadlineField, keyField, notStartedField, leavingField,
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
        if (!isReserved(name))
            message.headers_[name] = value;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(remaining(deadline, now));
    message.headers_[idField] = request.id_.value();
    message.headers_[deadlineField] = std::to_string(left.count());
    if (!request.idempotencyKey_.empty())
        message.headers_[keyField] = request.idempotencyKey_;
    message.body_ = request.body_;
    return message;
}

AttemptResult judgeAnswer(const ServiceRequest& request, const tl::expected<HttpResponse, TransportError>& received)
{
    if (!received) {
        const TransportError& error = received.error();
        if (error.failure_ == TransportFailure::NotSent)
            return NeverSent { error.message_ };
        return NoUsableAnswer { error.message_ };
    }
    // The echo comes first: a crossed refusal says nothing about this request.
    const std::string echo = field(received->headers_, idField);
    if (echo.empty())
        return NoUsableAnswer { "the answer names no request" };
    if (echo != request.id_.value())
        return NoUsableAnswer { "the answer names another request" };
    if (received->status_ == statusUnavailable && field(received->headers_, notStartedField) == "1")
        return NotStarted {};
    return WholeAnswer { *received };
}

bool saysLeaving(const HttpResponse& response)
{
    return field(response.headers_, leavingField) == "1";
}

}
