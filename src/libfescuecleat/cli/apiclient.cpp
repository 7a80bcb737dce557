#include "cli/apiclient.h"

#include "json/objectreader.h"

#include <utility>

namespace fescuecleat {

namespace {

    constexpr int firstErrorStatus = 400;
    constexpr int lastKind = static_cast<int>(ErrorKind::Internal);

    ErrorKind kindOfName(const std::string& name)
    {
        for (int kind = 0; kind <= lastKind; ++kind) {
            if (name == errorKindName(static_cast<ErrorKind>(kind)))
                return static_cast<ErrorKind>(kind);
        }
        return ErrorKind::Internal;
    }

    bool isReading(const HttpRequest& request) { return request.method_ == "GET"; }

}

Error parseErrorAnswer(const HttpResponse& response)
{
    const Result<JsonValue> body = parseJson(response.body_);
    std::vector<Error> ignored;
    if (!body || body->category() != JsonValue::Object || !body->findMember("kind"))
        return { ErrorKind::Internal, "answer has status " + std::to_string(response.status_) + " and no error that can be read", "check that the address is that of fescuecleatd", {} };
    ObjectReader reader(*body, {}, ignored);
    constexpr std::size_t longestText = 4096;
    Error error;
    error.kind_ = kindOfName(reader.string("kind"));
    error.message_ = reader.stringOr("message", "the request was refused", longestText);
    error.remedy_ = reader.stringOr("remedy", {}, longestText);
    error.location_ = reader.stringOr("location", {}, longestText);
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
    auto response = client_.send(address_, request, deadline_, isReading(request));
    if (response)
        return std::move(*response);
    const TransportError& error = response.error();
    const std::string place = toString(address_);
    if (error.failure_ == TransportFailure::NotSent || isReading(request))
        return failure(ErrorKind::Unavailable, "no answer from " + place + ": " + error.message_, "check the address and that fescuecleatd runs there, then try again");
    return failure(ErrorKind::OutcomeUnknown, "the request reached " + place + " and got no answer: " + error.message_, "look at the state before you send it again");
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

Result<JsonValue> ApiClient::put(const std::string& method, const std::string& path, const JsonValue& body) const
{
    HttpRequest request;
    request.method_ = method;
    request.path_ = path;
    request.headers_["content-type"] = "application/json";
    request.body_ = writeJson(body);
    return call(std::move(request));
}

}
