#include "membership/membershipservice.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Maximum time between two published views, as timestamps change without a ViewChanged. */
    constexpr Duration publishInterval { std::chrono::milliseconds(500) };
    constexpr double microsecondsPerSecond = 1'000'000;

    MembershipOptions membershipOptions(const Settings& settings, std::uint64_t incarnation)
    {
        MembershipOptions options;
        options.self_.id_ = settings.instance_;
        options.self_.dataCentre_ = settings.dataCentre_;
        options.self_.peerAddress_ = settings.peerAddress_;
        options.self_.incarnation_ = incarnation;
        return options;
    }

    double secondsSince(Time moment, Time now)
    {
        return static_cast<double>((now - moment).count()) / microsecondsPerSecond;
    }

}

Result<std::unique_ptr<MembershipService>> MembershipService::start(const Settings& settings, std::uint64_t incarnation)
{
    Result<std::unique_ptr<PeerTransport>> transport = PeerTransport::open(settings);
    if (!transport)
        return tl::unexpected<Error>(transport.error());
    return std::unique_ptr<MembershipService>(new MembershipService(std::move(*transport), membershipOptions(settings, incarnation)));
}

MembershipService::MembershipService(std::unique_ptr<PeerTransport> transport, MembershipOptions options)
    : transport_(std::move(transport))
    , self_(options.self_.id_)
    , core_(std::move(options))
    , view_(std::make_shared<MembershipView>(core_.view(monotonicNow())))
    , thread_([this] { run(); })
{
}

MembershipService::~MembershipService()
{
    isStopping_ = true;
    transport_->wake();
    thread_.join();
}

MembershipService::ViewPointer MembershipService::view() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return view_;
}

void MembershipService::setLocalState(const LocalState& state)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        localState_ = state;
    }
    enqueue(LocalStateChanged { state });
}

LocalState MembershipService::localState() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return localState_;
}

void MembershipService::updateLocalState(const std::function<void(LocalState&)>& change)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const LocalState before = localState_;
        change(localState_);
        if (localState_ == before)
            return;
        pendingEvents_.push_back(LocalStateChanged { localState_ });
    }
    transport_->wake();
}

void MembershipService::setInstanceList(const std::vector<ListedInstance>& instances)
{
    enqueue(InstancesListed { instances });
}

void MembershipService::announceLeave()
{
    enqueue(LeaveAnnounced {});
}

void MembershipService::send(const InstanceId& to, const PeerContent& content)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        pendingMessages_.push_back({ to, content });
    }
    transport_->wake();
}

void MembershipService::addViewListener(ViewListener listener)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    viewListeners_.push_back(std::move(listener));
}

void MembershipService::setMessageListener(MessageListener listener)
{
    const std::lock_guard<std::mutex> lock(listenerMutex_);
    messageListener_ = std::move(listener);
}

void MembershipService::setCut(std::set<InstanceId> cut)
{
    transport_->setCut(std::move(cut));
}

void MembershipService::enqueue(MembershipEvent event)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        pendingEvents_.push_back(std::move(event));
    }
    transport_->wake();
}

void MembershipService::run()
{
    Time nextPublishAt = monotonicNow();
    while (!isStopping_) {
        std::optional<PeerMessage> message = transport_->receive(std::min(core_.nextTick(), nextPublishAt));
        if (message)
            receive(std::move(*message));
        processPending();
        if (monotonicNow() >= core_.nextTick())
            handle(MembershipTick {});
        if (!isViewChanged_ && monotonicNow() < nextPublishAt)
            continue;
        publish();
        nextPublishAt = monotonicNow() + publishInterval;
    }
    // Sends what was enqueued before the stop, such as the announcement to leave.
    processPending();
}

void MembershipService::processPending()
{
    std::deque<MembershipEvent> events;
    std::deque<PendingMessage> messages;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        events.swap(pendingEvents_);
        messages.swap(pendingMessages_);
    }
    for (const MembershipEvent& event : events)
        handle(event);
    const ViewPointer current = view();
    for (const PendingMessage& message : messages) {
        const auto member = current->members_.find(message.to_);
        if (member != current->members_.end())
            transport_->send(message.to_, member->second.record_.peerAddress_, { self_, message.content_ });
    }
}

void MembershipService::handle(const MembershipEvent& event)
{
    for (const MembershipAction& action : core_.apply(event, monotonicNow())) {
        if (const auto* send = std::get_if<SendToPeer>(&action))
            transport_->send(send->to_, send->address_, { self_, send->content_ });
        else
            isViewChanged_ = true;
    }
}

void MembershipService::receive(PeerMessage message)
{
    const bool isLoanMessage = std::holds_alternative<LoanRequest>(message.content_) || std::holds_alternative<LoanGrant>(message.content_);
    if (!isLoanMessage) {
        handle(PeerMessageReceived { std::move(message) });
        return;
    }
    const std::lock_guard<std::mutex> lock(listenerMutex_);
    if (messageListener_)
        messageListener_(message);
}

void MembershipService::publish()
{
    isViewChanged_ = false;
    const auto current = std::make_shared<const MembershipView>(core_.view(monotonicNow()));
    std::vector<ViewListener> listeners;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        view_ = current;
        listeners = viewListeners_;
    }
    for (const ViewListener& listener : listeners)
        listener(current);
}

JsonValue MembershipService::dump() const
{
    const ViewPointer current = view();
    const Time now = monotonicNow();
    JsonValue value = jsonObject();
    value.addMember("instance") <<= current->self_.value();
    value.addMember("data_centre") <<= current->dataCentre_.value();
    value.addMember("gateway") <<= current->isGateway_;
    JsonValue& members = value.addMember("members");
    members.setCategory(JsonValue::Array);
    for (const auto& [id, member] : current->members_) {
        JsonValue& entry = members.addMember();
        entry.setCategory(JsonValue::Object);
        entry.addMember("instance") <<= id.value();
        entry.addMember("data_centre") <<= member.record_.dataCentre_.value();
        entry.addMember("incarnation") <<= member.record_.incarnation_;
        entry.addMember("alive") <<= member.isAlive_;
        entry.addMember("listed") <<= member.isListed_;
        entry.addMember("leaving") <<= member.record_.isLeaving_;
        entry.addMember("configuration_version") <<= member.record_.state_.configurationVersion_;
        entry.addMember("lease_epoch") <<= member.record_.state_.leaseEpoch_;
    }
    JsonValue& dataCentres = value.addMember("data_centres");
    dataCentres.setCategory(JsonValue::Array);
    for (const auto& [id, confirmedAt] : current->dataCentreConfirmedAt_) {
        JsonValue& entry = dataCentres.addMember();
        entry.setCategory(JsonValue::Object);
        entry.addMember("data_centre") <<= id.value();
        entry.addMember("heard_seconds_ago") <<= secondsSince(confirmedAt, now);
    }
    value.addMember("bytes_sent") <<= counters().bytesSent_.load();
    value.addMember("bytes_received") <<= counters().bytesReceived_.load();
    value.addMember("messages_dropped") <<= counters().messagesDropped_.load();
    return value;
}

}
