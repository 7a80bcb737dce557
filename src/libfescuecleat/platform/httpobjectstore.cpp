#include "platform/httpobjectstore.h"

#include "platform/tablecodec.h"

#include <utility>

namespace fescuecleat {

namespace {

    constexpr int statusNotFound = 404;

    bool isSuccess(const HttpResponse& response)
    {
        return response.status_ >= 200 && response.status_ < 300;
    }

    HttpRequest objectRequest(const char* method, const std::string& name)
    {
        HttpRequest request;
        request.method_ = method;
        request.path_ = "/v1/object";
        request.query_["name"] = name;
        return request;
    }

    tl::unexpected<Error> unexpectedStatus(const HttpResponse& response)
    {
        return failure(ErrorKind::Unavailable, "the object store answered with status " + std::to_string(response.status_), "check the platform's address and the version of its protocol");
    }

}

HttpObjectStore::HttpObjectStore(HttpClient& client, Address platform, const RetryPolicy& policy)
    : caller_(client, std::move(platform), policy)
{
}

Result<void> HttpObjectStore::put(const std::string& name, const std::string& content, Time deadline)
{
    HttpRequest request = objectRequest("PUT", name);
    request.body_ = content;
    const auto answer = caller_.send(request, deadline);
    if (!answer)
        return tl::unexpected<Error>(answer.error().toWriteError());
    if (!isSuccess(answer->response_))
        return unexpectedStatus(answer->response_);
    return {};
}

Result<std::string> HttpObjectStore::get(const std::string& name, Time deadline)
{
    const auto answer = caller_.send(objectRequest("GET", name), deadline);
    if (!answer)
        return tl::unexpected<Error>(answer.error().toReadError());
    if (answer->response_.status_ == statusNotFound)
        return failure(ErrorKind::NotFound, "the object store has no object named " + name, "check the name");
    if (!isSuccess(answer->response_))
        return unexpectedStatus(answer->response_);
    return answer->response_.body_;
}

Result<void> HttpObjectStore::remove(const std::string& name, Time deadline)
{
    const auto answer = caller_.send(objectRequest("DELETE", name), deadline);
    if (!answer)
        return tl::unexpected<Error>(answer.error().toWriteError());
    if (!isSuccess(answer->response_) && answer->response_.status_ != statusNotFound)
        return unexpectedStatus(answer->response_);
    return {};
}

Result<std::vector<std::string>> HttpObjectStore::list(const std::string& prefix, Time deadline)
{
    HttpRequest request;
    request.path_ = "/v1/objects";
    request.query_["prefix"] = prefix;
    const auto answer = caller_.send(request, deadline);
    if (!answer)
        return tl::unexpected<Error>(answer.error().toReadError());
    if (!isSuccess(answer->response_))
        return unexpectedStatus(answer->response_);
    return parseNames(answer->response_.body_);
}

}
