#include "cli/apiclient.h"

#include "json/objectreader.h"

#include <utility>

namespace fescuecleat {

namespace {

    constexpr int firstErrorStatus = 400;
    constexpr int lastErrorKind = static_cast<int>(ErrorKind::Internal);

    ErrorKind errorKindOf(const std::string& name)
    {
        for (int kind = 0; kind <= lastErrorKind; ++kind) {
            if (name == errorKindName(static_cast<ErrorKind>(kind)))
                return static_cast<ErrorKind>(kind);
        }
        return ErrorKind::Internal;
    }

    bool isReadOnly(const HttpRequest& request) { return request.method_ == "GET"; }

}

Error parseErrorAnswer(const HttpResponse& response)
{
    const Result<JsonValue> body = parseJson(response.body_);
    std::vector<Error> ignored;
    if (!body || body->category() != JsonValue::Object || !body->findMember("kind"))
        return { ErrorKind::Internal, "the response has status " + std::to_string(response.status_) + " and no readable error", "check that the address belongs to fescuecleatd", {} };
    ObjectReader reader(*body, {}, ignored);
    constexpr std::size_t maxTextBytes = 4096;
    Error error;
    error.kind_ = errorKindOf(reader.string("kind"));
    error.message_ = reader.stringOr("message", "the request was refused", maxTextBytes);
    error.remedy_ = reader.stringOr("remedy", {}, maxTextBytes);
    error.location_ = reader.stringOr("location", {}, maxTextBytes);
    return error;
}

ApiClient::ApiClient(HttpClient& client, Address address, HttpHeaders headers, Time deadline)
    : client_(client)
    , address_(std::move(address))
    , headers_(std::move(headers))
    , deadline_(deadline)
{
}

Result<HttpResponse> ApiClient::send(HttpRequest request) const
{
    request.headers_.insert(headers_.begin(), headers_.end());
    auto response = client_.send(address_, request, deadline_, isReadOnly(request));
    if (response)
        return std::move(*response);
    const TransportError& error = response.error();
    const std::string address = toString(address_);
    if (error.failure_ == TransportFailure::NotSent || isReadOnly(request))
        return failure(ErrorKind::Unavailable, "no answer from " + address + ": " + error.message_, "check the address and that fescuecleatd runs there, then try again");
    return failure(ErrorKind::OutcomeUnknown, "the request was sent to " + address + " but no answer arrived: " + error.message_, "check the state before you send it again");
}

Result<JsonValue> ApiClient::call(HttpRequest request) const
{
    const Result<HttpResponse> response = send(std::move(request));
    if (!response)
        return tl::make_unexpected(response.error());
    if (response->status_ >= firstErrorStatus)
        return tl::make_unexpected(parseErrorAnswer(*response));
    return parseJson(response->body_);
}

Result<JsonValue> ApiClient::get(const std::string& path) const
{
    HttpRequest request;
    request.path_ = path;
    return call(std::move(request));
}

Result<JsonValue> ApiClient::sendJson(const std::string& method, const std::string& path, const JsonValue& body) const
{
    HttpRequest request;
    request.method_ = method;
    request.path_ = path;
    request.headers_["content-type"] = "application/json";
    request.body_ = writeJson(body);
    return call(std::move(request));
}

}
