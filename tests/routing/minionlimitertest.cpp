#include "routing/minionlimiter.h"
#include "membership/virtualnetwork.h"
#include "support/property.h"

#include <algorithm>
#include <string>

using namespace fescuecleat;

namespace {

constexpr int slots = 8;
constexpr int minions = 4;

/** One instance's limiter and the attempts that it has in progress. */
struct Entry {
    explicit Entry(const InstanceId& id, const DataCentreId& dataCentre, std::uint64_t seed)
        : limiter_(id, dataCentre, seed)
    {
    }

    MinionLimiter limiter_;
    std::map<MinionId, SlotAllowance> allowances_;
    std::map<MinionId, std::vector<Time>> busy_;
    int wanted_ = 0;
};

/** Limiters over membership over a faulty network, each using all that it may. */
class SharedMinions {
public:
    explicit SharedMinions(std::uint64_t seed)
        : network_(seed)
    {
        network_.onOther_ = [this](const InstanceId& to, const PeerMessage& message) { receive(to, message); };
    }

    InstanceId add(const std::string& dataCentre)
    {
        InstanceId id = network_.add(dataCentre);
        entries_.emplace(id, Entry(id, DataCentreId(dataCentre), network_.random_.next()));
        return id;
    }

    void run(Duration duration)
    {
        network_.run(duration, [this] { step(); });
    }

    int busyOn(const MinionId& minion) const
    {
        int busy = 0;
        for (const auto& [id, entry] : entries_) {
            const auto ends = entry.busy_.find(minion);
            if (ends != entry.busy_.end())
                busy += static_cast<int>(std::count_if(ends->second.begin(), ends->second.end(), [&](Time end) { return end > network_.now_; }));
        }
        return busy;
    }

    int busy() const
    {
        int busy = 0;
        for (int minion = 0; minion < minions; ++minion)
            busy += busyOn(nameOf(minion));
        return busy;
    }

    static MinionId nameOf(int minion) { return MinionId("m" + std::to_string(minion)); }

    VirtualNetwork network_;
    std::map<InstanceId, Entry> entries_;
    bool isAllHungry_ = false;

private:
    SlotUsage usageOf(const Entry& entry) const
    {
        SlotUsage usage;
        usage.wanted_ = entry.wanted_;
        for (int minion = 0; minion < minions; ++minion) {
            SharedMinion& shared = usage.minions_[nameOf(minion)];
            shared = { DataCentreId("dc0"), slots, 0 };
            const auto ends = entry.busy_.find(nameOf(minion));
            if (ends != entry.busy_.end())
                shared.busy_ = static_cast<int>(ends->second.size());
        }
        return usage;
    }

    void step()
    {
        const bool isTick = (++steps_ % 5) == 0;
        for (auto& [id, entry] : entries_) {
            const VirtualNetwork::Node& node = network_.nodes_.at(id);
            if (!node.isRunning_ || node.isPaused_)
                continue;
            dropEnded(entry);
            if (isTick)
                tick(id, entry, node);
            if (entry.wanted_ > 0)
                start(entry);
        }
    }

    void tick(const InstanceId& id, Entry& entry, const VirtualNetwork::Node& node)
    {
        if (network_.random_.below(20) == 0)
            entry.wanted_ = isAllHungry_ || network_.random_.below(2) == 0 ? 30 : 0;
        const LimiterDecision decision = entry.limiter_.tick(node.core_.view(network_.now_), usageOf(entry), network_.now_);
        entry.allowances_ = decision.allowances_;
        LocalState state;
        state.shareView_ = decision.shareView_;
        network_.apply(id, LocalStateChanged { state });
        for (const LimiterMessage& message : decision.messages_)
            network_.send(id, message.to_, message.content_);
    }

    void start(Entry& entry)
    {
        for (int tries = 0; tries < 6; ++tries) {
            const MinionId minion = nameOf(static_cast<int>(network_.random_.below(minions)));
            const Time end = network_.now_ + Duration(static_cast<Duration::rep>(network_.random_.below(4'900'000)));
            if (hasRoom(entry.allowances_[minion], entry.busy_[minion], end, network_.now_))
                entry.busy_[minion].push_back(end);
        }
    }

    void dropEnded(Entry& entry) const
    {
        for (auto& [minion, ends] : entry.busy_)
            ends.erase(std::remove_if(ends.begin(), ends.end(), [&](Time end) { return end <= network_.now_; }), ends.end());
    }

    void receive(const InstanceId& to, const PeerMessage& message)
    {
        Entry& entry = entries_.at(to);
        if (const auto* grant = std::get_if<LoanGrant>(&message.content_))
            entry.limiter_.borrow(*grant);
        if (const auto* request = std::get_if<LoanRequest>(&message.content_)) {
            const auto grant = entry.limiter_.lend(*request, network_.now_);
            entry.allowances_ = entry.limiter_.allowances(network_.now_);
            if (grant)
                network_.send(to, message.sender_, entry.limiter_.settle(*grant, usageOf(entry), network_.now_));
        }
        entry.allowances_ = entry.limiter_.allowances(network_.now_);
    }

    int steps_ = 0;
};

/** Joins, deaths, cuts and pauses at random; the list drops only the dead and the paused. */
void disturb(SharedMinions& shared)
{
    VirtualNetwork& network = shared.network_;
    std::vector<InstanceId> running;
    for (const auto& [id, node] : network.nodes_) {
        if (node.isRunning_)
            running.push_back(id);
    }
    const InstanceId one = running[network.random_.below(running.size())];
    switch (network.random_.below(6)) {
    case 0:
        shared.add(network.random_.below(4) == 0 ? "dc1" : "dc0");
        return;
    case 1:
        if (running.size() > 2) {
            network.nodes_.at(one).isRunning_ = false;
            network.unlist(one);
        }
        return;
    case 2:
        network.cut_.insert(one);
        return;
    case 3:
        network.cut_.clear();
        return;
    case 4:
        network.nodes_.at(one).isPaused_ = true;
        if (network.random_.below(2) == 0)
            network.unlist(one);
        return;
    default:
        for (auto& [id, node] : network.nodes_)
            node.isPaused_ = false;
    }
}

}

/** Slots of minions shared between instances. */
class MinionLimiterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MinionLimiterTest);
    CPPUNIT_TEST(sumStaysWithinSlots);
    CPPUNIT_TEST(allSlotsAreUsed);
    CPPUNIT_TEST(unusedSharesFlow);
    CPPUNIT_TEST_SUITE_END();

    void sumStaysWithinSlots()
    {
        CHECK_PROPERTY("no minion has more in progress than slots", [] {
            SharedMinions shared(*rc::gen::arbitrary<std::uint64_t>());
            for (int count = 0; count < 3; ++count)
                shared.add("dc0");
            shared.network_.faults_ = { 0.1, 0.1, std::chrono::milliseconds(1500) };
            for (int round = 0; round < 25; ++round) {
                disturb(shared);
                for (int step = 0; step < 40; ++step) {
                    shared.run(std::chrono::milliseconds(100));
                    for (int minion = 0; minion < minions; ++minion)
                        RC_ASSERT(shared.busyOn(SharedMinions::nameOf(minion)) <= slots);
                }
            }
        });
    }

    void allSlotsAreUsed()
    {
        SharedMinions shared(5);
        shared.isAllHungry_ = true;
        for (int count = 0; count < 3; ++count)
            shared.add("dc0");
        shared.run(std::chrono::seconds(40));
        CPPUNIT_ASSERT(shared.busy() >= slots * minions * 9 / 10);
    }

    void unusedSharesFlow()
    {
        SharedMinions shared(6);
        const InstanceId hungry = shared.add("dc1");
        for (int count = 0; count < 3; ++count)
            shared.add("dc0");
        shared.run(std::chrono::seconds(20));
        int most = 0;
        for (int round = 0; round < 100; ++round) {
            for (auto& [id, entry] : shared.entries_)
                entry.wanted_ = id == hungry ? 30 : 0;
            shared.run(std::chrono::milliseconds(100));
            most = std::max(most, shared.busy());
        }
        // Its own data centre has no minions: all of this is lent.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most >= slots * minions / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MinionLimiterTest);
