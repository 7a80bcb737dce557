#pragma once

#include "http/httpclient.h"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace fescuecleat {

/** One message that a fake client was given. */
struct SentMessage {
    Address address_;
    HttpRequest request_;
    bool mayReuse_ = false;
};

/** Answers each request as a function of the test says and keeps what was sent. */
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

    /** The right answer: echoes the id, and the body with a prefix. */
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

    static Answer failure(TransportFailure kind) { return tl::unexpected<TransportError>(TransportError { kind, "as the test says" }); }

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
