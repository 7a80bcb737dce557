#pragma once

#include "http/httpclient.h"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace fescuecleat {

/** A message that was sent through the fake client. */
struct SentMessage {
    Address address_;
    HttpRequest request_;
    bool mayReuse_ = false;
};

/** Answers requests by a function of the test and records them. */
class FakeHttpClient : public HttpClient {
public:
    using Answer = tl::expected<HttpResponse, TransportError>;
    using Behaviour = std::function<Answer(const SentMessage&)>;

    explicit FakeHttpClient(Behaviour behaviour = &FakeHttpClient::echo)
        : behaviour_(std::move(behaviour))
    {
    }

    Answer send(const Address& address, const HttpRequest& request, Time, bool mayReuse) override
    {
        const SentMessage message { address, request, mayReuse };
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            sent_.push_back(message);
        }
        return behaviour_(message);
    }

    /** A correct answer: echoes the request id and returns the body with a prefix. */
    static Answer echo(const SentMessage& message)
    {
        HttpResponse response;
        response.headers_["x-request-id"] = message.request_.headers_.at("x-request-id");
        response.body_ = "done: " + message.request_.body_;
        return response;
    }

    static Answer notStarted(const SentMessage& message)
    {
        Answer answer = echo(message);
        answer->status_ = 503;
        answer->headers_["x-not-started"] = "1";
        return answer;
    }

    static Answer failure(TransportFailure kind) { return tl::unexpected<TransportError>(TransportError { kind, "simulated transport failure" }); }

    std::vector<SentMessage> sent() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return sent_;
    }

private:
    Behaviour behaviour_;
    mutable std::mutex mutex_;
    std::vector<SentMessage> sent_;
};

}
