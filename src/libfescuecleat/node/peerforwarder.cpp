#include "node/peerforwarder.h"

#include "node/nodeclock.h"

#include <nlohmann/json.hpp>

namespace fescuecleat {

namespace {

    using Json = nlohmann::json;

    /** A peer answers in some 15 ms, or says after 450 ms that it can't reach the store either. */
    constexpr Duration peerTimeLimit = std::chrono::milliseconds(600);
    constexpr std::size_t maxPeers = 3;
    constexpr Duration minTimeLeft = std::chrono::milliseconds(100);

}

std::string encodeForwardedCall(const ForwardedCall& call)
{
    const HttpRequest& request = call.request_;
    return Json { { "method", request.method_ }, { "path", request.path_ }, { "host", request.host_ }, { "authorization", request.authorization_ },
        { "body", request.body_ }, { "timeLeftUs", call.timeLeft_.count() } }
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<ForwardedCall> decodeForwardedCall(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        ForwardedCall call;
        call.request_.method_ = json.at("method");
        call.request_.path_ = json.at("path");
        call.request_.host_ = json.at("host");
        call.request_.authorization_ = json.at("authorization");
        call.request_.body_ = json.at("body");
        call.timeLeft_ = Duration(json.at("timeLeftUs").get<std::int64_t>());
        return call;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

struct PeerForwarder::Attempt {
    HttpRequest request_;
    Time deadline_ {};
    Handler handler_;
    std::vector<Endpoint> peers_;
    std::size_t next_ = 0;
    bool mayBeDone_ = false;
};

void PeerForwarder::forward(const HttpRequest& request, Time deadline, Handler handler)
{
    const auto attempt = std::make_shared<Attempt>();
    attempt->request_ = request;
    attempt->deadline_ = deadline;
    attempt->handler_ = std::move(handler);
    attempt->peers_ = directory_.candidates();
    tryNext(attempt);
}

void PeerForwarder::tryNext(const std::shared_ptr<Attempt>& attempt)
{
    const Duration left = remaining(attempt->deadline_, bootTimeNow());
    if (attempt->next_ >= std::min(maxPeers, attempt->peers_.size()) || left < minTimeLeft)
        return attempt->handler_(tl::unexpected<Failure>(attempt->mayBeDone_ ? Failure::OutcomeUnknown : Failure::NotDone));
    const Endpoint peer = attempt->peers_[attempt->next_++];
    HttpCall call { "POST", path, {}, encodeForwardedCall({ attempt->request_, left }) };
    client_.call(peer, "peer", std::move(call), std::min(left, peerTimeLimit), lifetime_.guard([this, attempt, peer](const tl::expected<HttpAnswer, HttpFailure>& answer) {
        if (answer && answer->status_ != 503) {
            directory_.answered(peer);
            return attempt->handler_(*answer);
        }
        directory_.failed(peer);
        if (!answer && answer.error() == HttpFailure::NoAnswer)
            attempt->mayBeDone_ = true;
        tryNext(attempt);
    }));
}

}
