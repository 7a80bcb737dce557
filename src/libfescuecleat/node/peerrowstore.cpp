#include "node/peerrowstore.h"

#include "base/bootclock.h"
#include "base/overloaded.h"

namespace fescuecleat {

namespace {

    /** Subtracted from the time left to get the peer's timeout for the store; covers the round trip to the peer. */
    constexpr Duration peerRoundTripMargin = std::chrono::milliseconds(20);
    constexpr std::size_t maxPeersPerCall = 2;

    StoreOutcome refused(const char* message)
    {
        return tl::unexpected<StoreFailure>({ StoreFailureKind::Refused, {}, message });
    }

}

struct PeerRowStore::Attempt {
    StoreCall call_;
    PageHandler handler_;
    Time deadline_ {};
    std::vector<SocketAddress> peers_;
    std::size_t next_ = 0;
};

void PeerRowStore::commit(RowTransaction transaction, Duration timeout, CommitHandler handler)
{
    send({ CommitCall { std::move(transaction) }, timeout }, [handler = std::move(handler)](StoreOutcome outcome) {
        if (!outcome)
            return handler(tl::unexpected<StoreFailure>(std::move(outcome.error())));
        handler(outcome->timestamp_);
    });
}

void PeerRowStore::read(const RowRange& range, Duration timeout, PageHandler handler)
{
    send({ ReadCall { range }, timeout }, std::move(handler));
}

void PeerRowStore::follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler handler)
{
    send({ FollowCall { table, after, wait }, timeout }, std::move(handler));
}

void PeerRowStore::send(StoreCall call, PageHandler handler)
{
    const auto attempt = std::make_shared<Attempt>();
    attempt->deadline_ = bootTimeNow() + call.timeout_;
    attempt->call_ = std::move(call);
    attempt->handler_ = std::move(handler);
    if (directory_.candidates_)
        attempt->peers_ = directory_.candidates_();
    tryNextPeer(attempt);
}

void PeerRowStore::tryNextPeer(const std::shared_ptr<Attempt>& attempt)
{
    const Time askedAt = bootTimeNow();
    const Duration left = remaining(attempt->deadline_, askedAt);
    if (attempt->next_ >= std::min(maxPeersPerCall, attempt->peers_.size()) || left <= peerRoundTripMargin)
        return attempt->handler_(refused("no peer reaches the store"));
    const SocketAddress peer = attempt->peers_[attempt->next_++];
    attempt->call_.timeout_ = left - peerRoundTripMargin;
    HttpCall call { "POST", path, {}, encodeStoreCall(attempt->call_) };
    const bool isFollowing = std::holds_alternative<FollowCall>(attempt->call_.call_);
    client_.call(peer, isFollowing ? "feed" : "peer", std::move(call), left, lifetime_.guard([this, attempt, peer, askedAt](const tl::expected<HttpAnswer, HttpFailure>& answer) {
        auto outcome = answer && answer->status_ == 200 ? decodeStoreOutcome(answer->body_) : std::nullopt;
        directory_.attempted_(peer, outcome.has_value());
        if (outcome) {
            if (outcome->has_value()) {
                // Our request preceded the peer's, so its time never makes the data look newer than it is.
                (*outcome)->timestamp_.askedAt_ = askedAt;
                (*outcome)->timestamp_.answeredAt_ = bootTimeNow();
            }
            return attempt->handler_(std::move(*outcome));
        }
        const bool mayBeApplied = answer ? answer->status_ != 503 : answer.error() == HttpFailure::NoAnswer;
        if (mayBeApplied && std::holds_alternative<CommitCall>(attempt->call_.call_))
            return attempt->handler_(tl::unexpected<StoreFailure>({ StoreFailureKind::OutcomeUnknown, {}, "no answer from a peer" }));
        tryNextPeer(attempt);
    }));
}

void PeerRowStore::serve(RowStore& own, const std::string& body, const AsyncHttpServer::Respond& respond)
{
    auto call = decodeStoreCall(body);
    if (!call) {
        ServerResponse response;
        response.status_ = 400;
        return respond(std::move(response));
    }
    const auto answer = [respond](const StoreOutcome& outcome) {
        ServerResponse response;
        // 503 makes the caller try another peer, which may reach the store.
        if (!outcome && outcome.error().kind_ == StoreFailureKind::Refused)
            response.status_ = 503;
        response.contentType_ = "application/cbor";
        response.body_ = encodeStoreOutcome(outcome);
        respond(std::move(response));
    };
    const Duration limit = call->timeout_;
    std::visit(Overloaded {
                   [&](CommitCall& commit) {
                       own.commit(std::move(commit.transaction_), limit, [answer](const tl::expected<StoreTimestamp, StoreFailure>& outcome) {
                           if (!outcome)
                               return answer(tl::unexpected<StoreFailure>(outcome.error()));
                           RowPage page;
                           page.timestamp_ = *outcome;
                           answer(page);
                       });
                   },
                   [&](const ReadCall& read) { own.read(read.range_, limit, answer); },
                   [&](const FollowCall& follow) { own.follow(follow.table_, follow.after_, follow.wait_, limit, answer); },
               },
        call->call_);
}

}
