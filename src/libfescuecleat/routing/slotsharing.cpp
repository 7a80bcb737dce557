#include "routing/slotsharing.h"

namespace fescuecleat {

namespace {

    constexpr Duration tickInterval { std::chrono::milliseconds(100) };

}

SlotSharing::SlotSharing(RequestRouter& router, MembershipService& membership, const RouterIdentity& identity)
    : router_(router)
    , membership_(membership)
    , limiter_(identity.instance_, identity.dataCentre_, identity.seed_)
{
    router_.beginSharing();
    membership_.setMessageListener([this](const PeerMessage& message) { receive(message); });
    thread_ = std::thread([this] { run(); });
}

SlotSharing::~SlotSharing()
{
    membership_.setMessageListener({});
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isStopping_ = true;
    }
    stop_.notify_all();
    thread_.join();
}

void SlotSharing::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!isStopping_) {
        tick();
        stop_.wait_for(lock, tickInterval, [&] { return isStopping_; });
    }
}

void SlotSharing::tick()
{
    const MembershipService::ViewPointer view = membership_.view();
    const LimiterDecision decision = limiter_.tick(*view, router_.slotUsage(), monotonicNow());
    router_.setAllowances(decision.allowances_);
    membership_.updateLocalState([&](LocalState& state) {
        state.participantsDigest_ = decision.participantsDigest_;
        state.leavingMinions_ = router_.leavingMinions();
    });
    for (const LimiterMessage& message : decision.messages_)
        membership_.send(message.to_, message.content_);
    applyLeavingReports(*view);
}

void SlotSharing::applyLeavingReports(const MembershipView& view)
{
    for (const auto& [id, member] : view.members_) {
        if (id == view.self_ || !member.isAlive_)
            continue;
        for (const MinionId& minion : member.record_.state_.leavingMinions_)
            router_.markLeaving(minion);
    }
}

void SlotSharing::receive(const PeerMessage& message)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (const auto* request = std::get_if<LoanRequest>(&message.content_))
        lend(message.sender_, *request);
    const auto* grant = std::get_if<LoanGrant>(&message.content_);
    if (grant == nullptr)
        return;
    ++loansTaken_;
    limiter_.borrow(*grant);
    router_.setAllowances(limiter_.allowances(monotonicNow()));
}

void SlotSharing::lend(const InstanceId& to, const LoanRequest& request)
{
    const std::optional<LoanGrant> grant = limiter_.lend(request, monotonicNow());
    if (!grant)
        return;
    // The router's allowances are reduced before its usage is read, so that the usage can't grow in between.
    router_.setAllowances(limiter_.allowances(monotonicNow()));
    const LoanGrant confirmed = limiter_.confirmGrant(*grant, router_.slotUsage(), monotonicNow());
    if (confirmed.granted_.size() != grant->granted_.size())
        router_.setAllowances(limiter_.allowances(monotonicNow()));
    if (confirmed.granted_.empty())
        return;
    ++loansGiven_;
    membership_.send(to, confirmed);
}

bool SlotSharing::isEstablished() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return limiter_.isEstablished();
}

JsonValue SlotSharing::dump() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    JsonValue value = jsonObject();
    value.addMember("established") <<= limiter_.isEstablished();
    value.addMember("loans_given") <<= loansGiven_;
    value.addMember("loans_taken") <<= loansTaken_;
    return value;
}

}
