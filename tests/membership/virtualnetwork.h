#pragma once

#include "membership/membershipcore.h"
#include "routing/randomsource.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** What a virtual network does to messages. */
struct NetworkFaults {
    double lostShare_ = 0;
    double repeatedShare_ = 0;
    /** Messages take up to this long, so that they overtake each other. */
    Duration longestDelay_ { std::chrono::milliseconds(20) };
};

/** Membership cores in virtual time over a network that loses, repeats and reorders. */
class VirtualNetwork {
public:
    struct Node {
        MembershipCore core_;
        MemberRecord record_;
        bool isRunning_ = true;
        bool isPaused_ = false;
        Time readAt_;
        std::uint64_t bytesSent_ = 0;
        std::uint64_t bytesBetweenDataCentres_ = 0;
    };
    /** Gets messages that aren't membership's. */
    using OtherMessage = std::function<void(const InstanceId& to, const PeerMessage&)>;
    using Size = std::function<std::size_t(const PeerMessage&)>;

    explicit VirtualNetwork(std::uint64_t seed, Arrangement arrangement = Arrangement::Hierarchical)
        : random_(seed)
        , arrangement_(arrangement)
    {
    }

    InstanceId add(const std::string& dataCentre)
    {
        const auto number = static_cast<unsigned short>(++added_);
        MemberRecord record;
        record.id_ = InstanceId((number < 10 ? "e00" : number < 100 ? "e0"
                                                                    : "e")
            + std::to_string(number));
        record.dataCentre_ = DataCentreId(dataCentre);
        record.peerAddress_ = { "10.0.0.1", number };
        record.incarnation_ = number;
        nodes_.emplace(record.id_, Node { MembershipCore({ record, arrangement_ }), record, true, false, now_, 0, 0 });
        ListedInstance entry;
        entry.id_ = record.id_.value();
        entry.dataCentre_ = record.dataCentre_;
        entry.peerAddress_ = record.peerAddress_;
        list_.push_back(entry);
        keepList();
        return record.id_;
    }

    void unlist(const InstanceId& id)
    {
        for (auto entry = list_.begin(); entry != list_.end();)
            entry = entry->id_ == id.value() ? list_.erase(entry) : std::next(entry);
        keepList();
    }

    void send(const InstanceId& from, const InstanceId& to, const PeerContent& content)
    {
        const PeerMessage message { from, content };
        Node& sender = nodes_.at(from);
        const auto receiver = nodes_.find(to);
        if (size_) {
            sender.bytesSent_ += size_(message);
            if (receiver != nodes_.end() && receiver->second.record_.dataCentre_ != sender.record_.dataCentre_)
                sender.bytesBetweenDataCentres_ += size_(message);
        }
        if (isCut(from) || isCut(to) || random_.unit() < faults_.lostShare_)
            return;
        const int copies = random_.unit() < faults_.repeatedShare_ ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const Duration delay(1 + static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>(faults_.longestDelay_.count()))));
            travelling_.emplace(now_ + delay, std::make_pair(to, message));
        }
    }

    /** Lets time pass in small steps. */
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
    /** Cut off from every other instance. */
    std::set<InstanceId> cut_;
    OtherMessage onOther_;
    Size size_;

private:
    void keepList() { lists_.emplace_back(now_, list_); }

    /** Every second each node reads the list as it was up to two seconds ago. */
    void readList(const InstanceId& id, Node& node)
    {
        if (now_ < node.readAt_)
            return;
        node.readAt_ = now_ + std::chrono::seconds(1);
        const Time moment = now_ - Duration(static_cast<Duration::rep>(random_.below(2'000'000)));
        std::vector<ListedInstance> seen;
        for (const auto& [since, list] : lists_) {
            if (since <= moment)
                seen = list;
        }
        apply(id, InstancesListed { seen });
    }

    void deliver()
    {
        while (!travelling_.empty() && travelling_.begin()->first <= now_) {
            const auto [to, message] = travelling_.begin()->second;
            travelling_.erase(travelling_.begin());
            const auto node = nodes_.find(to);
            if (node == nodes_.end() || !node->second.isRunning_)
                continue;
            // What arrives at a paused process waits for it.
            if (node->second.isPaused_) {
                travelling_.emplace(now_ + std::chrono::milliseconds(100), std::make_pair(to, message));
                continue;
            }
            const bool isOther = std::holds_alternative<LoanRequest>(message.content_) || std::holds_alternative<LoanGrant>(message.content_);
            if (isOther && onOther_)
                onOther_(to, message);
            else
                apply(to, PeerMessageReceived { message });
        }
    }

    Arrangement arrangement_;
    int added_ = 0;
    std::vector<ListedInstance> list_;
    std::deque<std::pair<Time, std::vector<ListedInstance>>> lists_;
    std::multimap<Time, std::pair<InstanceId, PeerMessage>> travelling_;
};

}
