#include "node/peerrowstore.h"

#include "base/overloaded.h"
#include "node/nodeclock.h"

namespace fescuecleat {

namespace {

    /** A peer's own call to the store ends within the caller's limit; this is the way there and back. */
    constexpr Duration wayToPeer = std::chrono::milliseconds(20);
    /** Peers tried one after the other for one call. */
    constexpr std::size_t maxPeers = 2;

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

void PeerRowStore::commit(RowTransaction transaction, Duration timeLimit, CommitHandler handler)
{
    send({ CommitCall { std::move(transaction) }, timeLimit }, [handler = std::move(handler)](StoreOutcome outcome) {
        if (!outcome)
            return handler(tl::unexpected<StoreFailure>(std::move(outcome.error())));
        handler(outcome->moment_);
    });
}

void PeerRowStore::read(const RowRange& range, Duration timeLimit, PageHandler handler)
{
    send({ ReadCall { range }, timeLimit }, std::move(handler));
}

void PeerRowStore::follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeLimit, PageHandler handler)
{
    send({ FollowCall { table, after, wait }, timeLimit }, std::move(handler));
}

void PeerRowStore::send(StoreCall call, PageHandler handler)
{
    const auto attempt = std::make_shared<Attempt>();
    attempt->deadline_ = bootTimeNow() + call.timeLimit_;
    attempt->call_ = std::move(call);
    attempt->handler_ = std::move(handler);
    if (directory_.candidates_)
        attempt->peers_ = directory_.candidates_();
    tryNext(attempt);
}

void PeerRowStore::tryNext(const std::shared_ptr<Attempt>& attempt)
{
    const Time askedAt = bootTimeNow();
    const Duration left = remaining(attempt->deadline_, askedAt);
    if (attempt->next_ >= std::min(maxPeers, attempt->peers_.size()) || left <= wayToPeer)
        return attempt->handler_(refused("no peer reaches the store"));
    const SocketAddress peer = attempt->peers_[attempt->next_++];
    attempt->call_.timeLimit_ = left - wayToPeer;
    HttpCall call { "POST", path, {}, encodeStoreCall(attempt->call_) };
    const bool isFollowing = std::holds_alternative<FollowCall>(attempt->call_.call_);
    client_.call(peer, isFollowing ? "feed" : "peer", std::move(call), left, lifetime_.guard([this, attempt, peer, askedAt](const tl::expected<HttpAnswer, HttpFailure>& answer) {
        auto outcome = answer && answer->status_ == 200 ? decodeStoreOutcome(answer->body_) : std::nullopt;
        directory_.tried_(peer, outcome.has_value());
        if (outcome) {
            if (outcome->has_value()) {
                // Asked by us before the peer asked: as a proof of contact it is no younger than our own call.
                (*outcome)->moment_.askedAt_ = askedAt;
                (*outcome)->moment_.answeredAt_ = bootTimeNow();
            }
            return attempt->handler_(std::move(*outcome));
        }
        const bool mayBeDone = answer ? answer->status_ != 503 : answer.error() == HttpFailure::NoAnswer;
        if (mayBeDone && std::holds_alternative<CommitCall>(attempt->call_.call_))
            return attempt->handler_(tl::unexpected<StoreFailure>({ StoreFailureKind::OutcomeUnknown, {}, "no answer from a peer" }));
        tryNext(attempt);
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
        // Another peer may be served where we are not.
        if (!outcome && outcome.error().kind_ == StoreFailureKind::Refused)
            response.status_ = 503;
        response.contentType_ = "application/cbor";
        response.body_ = encodeStoreOutcome(outcome);
        respond(std::move(response));
    };
    const Duration limit = call->timeLimit_;
    std::visit(Overloaded {
                   [&](CommitCall& commit) {
                       own.commit(std::move(commit.transaction_), limit, [answer](const tl::expected<StoreMoment, StoreFailure>& outcome) {
                           if (!outcome)
                               return answer(tl::unexpected<StoreFailure>(outcome.error()));
                           RowPage page;
                           page.moment_ = *outcome;
                           answer(page);
                       });
                   },
                   [&](const ReadCall& read) { own.read(read.range_, limit, answer); },
                   [&](const FollowCall& follow) { own.follow(follow.table_, follow.after_, follow.wait_, limit, answer); },
               },
        call->call_);
}

}
