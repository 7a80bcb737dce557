#include "load/operatorclient.h"

#include <cstdlib>

namespace fescuecleat {

namespace {

    constexpr Duration callTimeout = std::chrono::seconds(10);
    constexpr int firstServerErrorStatus = 500;

}

std::string memberText(const JsonValue& value, const std::string& name)
{
    std::string text;
    if (const JsonValue* member = value.findMember(name))
        member->getValue(text);
    return text;
}

std::string memberText(const HttpResponse& response, const std::string& name)
{
    const Result<JsonValue> value = parseJson(response.body_);
    return value && value->category() == JsonValue::Object ? memberText(*value, name) : "";
}

std::int64_t versionOf(const HttpResponse& response)
{
    const std::string text = memberText(response, "version");
    return text.empty() ? -1 : std::strtoll(text.c_str(), nullptr, 10);
}

OperatorClient::Response OperatorClient::call(const Address& address, const std::string& method, const std::string& path, const std::string& body) const
{
    HttpRequest request;
    request.method_ = method;
    request.path_ = path;
    request.headers_["authorization"] = "Bearer " + testbed_.operatorKey_;
    if (!body.empty())
        request.headers_["content-type"] = "application/json";
    request.body_ = body;
    return client_.send(address, request, monotonicNow() + callTimeout, false);
}

OperatorClient::Response OperatorClient::callAny(const std::string& method, const std::string& path, const std::string& body) const
{
    Response response = tl::unexpected<TransportError>(TransportError { TransportFailure::NotSent, "no instance" });
    for (const TestbedDataCentre& dataCentre : testbed_.dataCentres_) {
        for (const TestbedEntry& entry : dataCentre.entries_) {
            response = call(entry.operatorAddress_, method, path, body);
            if (response && response->status_ < firstServerErrorStatus)
                return response;
        }
    }
    return response;
}

}
