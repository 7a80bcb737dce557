#pragma once

#include "membership/membershipcore.h"
#include "routing/randomsource.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** Message faults of a simulated network. */
struct NetworkFaults {
    double lossRate_ = 0;
    double duplicationRate_ = 0;
    /** Delays vary up to this limit, which reorders messages. */
    Duration maxDelay_ { std::chrono::milliseconds(20) };
};

/** Simulates membership cores in virtual time over a network that loses, duplicates and reorders messages. */
class VirtualNetwork {
public:
    struct Node {
        MembershipCore core_;
        MemberRecord record_;
        bool isRunning_ = true;
        bool isPaused_ = false;
        Time nextListReadAt_;
        std::uint64_t bytesSent_ = 0;
        std::uint64_t bytesBetweenDataCentres_ = 0;
    };
    /** Receives loan messages, which the cores ignore. */
    using MessageHandler = std::function<void(const InstanceId& to, const PeerMessage&)>;
    using MessageSize = std::function<std::size_t(const PeerMessage&)>;

    explicit VirtualNetwork(std::uint64_t seed, Topology topology = Topology::Hierarchical)
        : random_(seed)
        , topology_(topology)
    {
    }

    InstanceId add(const std::string& dataCentre)
    {
        const auto number = static_cast<unsigned short>(++addedNodes_);
        MemberRecord record;
        record.id_ = InstanceId((number < 10 ? "e00" : number < 100 ? "e0"
                                                                    : "e")
            + std::to_string(number));
        record.dataCentre_ = DataCentreId(dataCentre);
        record.peerAddress_ = { "10.0.0.1", number };
        record.incarnation_ = number;
        nodes_.emplace(record.id_, Node { MembershipCore({ record, topology_ }), record, true, false, now_, 0, 0 });
        ListedInstance entry;
        entry.id_ = record.id_.value();
        entry.dataCentre_ = record.dataCentre_;
        entry.peerAddress_ = record.peerAddress_;
        list_.push_back(entry);
        recordList();
        return record.id_;
    }

    void unlist(const InstanceId& id)
    {
        for (auto entry = list_.begin(); entry != list_.end();)
            entry = entry->id_ == id.value() ? list_.erase(entry) : std::next(entry);
        recordList();
    }

    void send(const InstanceId& from, const InstanceId& to, const PeerContent& content)
    {
        const PeerMessage message { from, content };
        Node& sender = nodes_.at(from);
        const auto receiver = nodes_.find(to);
        if (messageBytes_) {
            sender.bytesSent_ += messageBytes_(message);
            if (receiver != nodes_.end() && receiver->second.record_.dataCentre_ != sender.record_.dataCentre_)
                sender.bytesBetweenDataCentres_ += messageBytes_(message);
        }
        if (isCut(from) || isCut(to) || random_.unit() < faults_.lossRate_)
            return;
        const int copies = random_.unit() < faults_.duplicationRate_ ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const Duration delay(1 + static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>(faults_.maxDelay_.count()))));
            inFlight_.emplace(now_ + delay, std::make_pair(to, message));
        }
    }

    /** Advances the virtual time in steps of 20 ms. */
    void run(Duration duration, const std::function<void()>& afterStep = {})
    {
        const Time end = now_ + duration;
        while (now_ < end) {
            now_ += std::chrono::milliseconds(20);
            deliver();
            for (auto& [id, node] : nodes_) {
                if (!node.isRunning_ || node.isPaused_)
                    continue;
                readList(id, node);
                if (now_ >= node.core_.nextTick())
                    apply(id, MembershipTick {});
            }
            if (afterStep)
                afterStep();
        }
    }

    void apply(const InstanceId& id, const MembershipEvent& event)
    {
        for (const MembershipAction& action : nodes_.at(id).core_.apply(event, now_)) {
            if (const auto* message = std::get_if<SendToPeer>(&action))
                send(id, message->to_, message->content_);
        }
    }

    bool isCut(const InstanceId& id) const { return cut_.count(id) != 0; }

    Time now_ = Time(std::chrono::hours(1));
    RandomSource random_;
    NetworkFaults faults_;
    std::map<InstanceId, Node> nodes_;
    /** Instances that are partitioned from all others. */
    std::set<InstanceId> cut_;
    MessageHandler onOther_;
    MessageSize messageBytes_;

private:
    void recordList() { listHistory_.emplace_back(now_, list_); }

    /** Each node reads the instance list every second, with a random lag of up to two seconds. */
    void readList(const InstanceId& id, Node& node)
    {
        if (now_ < node.nextListReadAt_)
            return;
        node.nextListReadAt_ = now_ + std::chrono::seconds(1);
        const Time moment = now_ - Duration(static_cast<Duration::rep>(random_.below(2'000'000)));
        std::vector<ListedInstance> visible;
        for (const auto& [since, list] : listHistory_) {
            if (since <= moment)
                visible = list;
        }
        apply(id, InstancesListed { visible });
    }

    void deliver()
    {
        while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
            const auto [to, message] = inFlight_.begin()->second;
            inFlight_.erase(inFlight_.begin());
            const auto node = nodes_.find(to);
            if (node == nodes_.end() || !node->second.isRunning_)
                continue;
            // A paused process receives its messages after it resumes.
            if (node->second.isPaused_) {
                inFlight_.emplace(now_ + std::chrono::milliseconds(100), std::make_pair(to, message));
                continue;
            }
            const bool isLoanMessage = std::holds_alternative<LoanRequest>(message.content_) || std::holds_alternative<LoanGrant>(message.content_);
            if (isLoanMessage && onOther_)
                onOther_(to, message);
            else
                apply(to, PeerMessageReceived { message });
        }
    }

    Topology topology_;
    int addedNodes_ = 0;
    std::vector<ListedInstance> list_;
    std::deque<std::pair<Time, std::vector<ListedInstance>>> listHistory_;
    std::multimap<Time, std::pair<InstanceId, PeerMessage>> inFlight_;
};

}
