#include "routing/minionlimiter.h"
#include "membership/virtualnetwork.h"
#include "support/property.h"

#include <algorithm>
#include <string>

using namespace fescuecleat;

namespace {

constexpr int slots = 8;
constexpr int minions = 4;

/** The limiter of one instance and its attempts in progress. */
struct LimiterInstance {
    explicit LimiterInstance(const InstanceId& id, const DataCentreId& dataCentre, std::uint64_t seed)
        : limiter_(id, dataCentre, seed)
    {
    }

    MinionLimiter limiter_;
    std::map<MinionId, SlotAllowance> allowances_;
    std::map<MinionId, std::vector<Time>> busy_;
    int wanted_ = 0;
};

/** Limiters on top of membership and a faulty network; each one uses all its allowances. */
class LimiterSimulation {
public:
    explicit LimiterSimulation(std::uint64_t seed)
        : network_(seed)
    {
        network_.onOther_ = [this](const InstanceId& to, const PeerMessage& message) { receive(to, message); };
    }

    InstanceId add(const std::string& dataCentre)
    {
        InstanceId id = network_.add(dataCentre);
        instances_.emplace(id, LimiterInstance(id, DataCentreId(dataCentre), network_.random_.next()));
        return id;
    }

    void run(Duration duration)
    {
        network_.run(duration, [this] { step(); });
    }

    int busyOn(const MinionId& minion) const
    {
        int busy = 0;
        for (const auto& [id, instance] : instances_) {
            const auto ends = instance.busy_.find(minion);
            if (ends != instance.busy_.end())
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
    std::map<InstanceId, LimiterInstance> instances_;
    bool allInstancesWantSlots_ = false;

private:
    SlotUsage usageOf(const LimiterInstance& instance) const
    {
        SlotUsage usage;
        usage.waitingRequests_ = instance.wanted_;
        for (int minion = 0; minion < minions; ++minion) {
            SharedMinion& sharedMinion = usage.minions_[nameOf(minion)];
            sharedMinion = { DataCentreId("dc0"), slots, 0 };
            const auto ends = instance.busy_.find(nameOf(minion));
            if (ends != instance.busy_.end())
                sharedMinion.busy_ = static_cast<int>(ends->second.size());
        }
        return usage;
    }

    void step()
    {
        const bool isTick = (++steps_ % 5) == 0;
        for (auto& [id, instance] : instances_) {
            const VirtualNetwork::Node& node = network_.nodes_.at(id);
            if (!node.isRunning_ || node.isPaused_)
                continue;
            dropEnded(instance);
            if (isTick)
                tick(id, instance, node);
            if (instance.wanted_ > 0)
                start(instance);
        }
    }

    void tick(const InstanceId& id, LimiterInstance& instance, const VirtualNetwork::Node& node)
    {
        if (network_.random_.below(20) == 0)
            instance.wanted_ = allInstancesWantSlots_ || network_.random_.below(2) == 0 ? 30 : 0;
        const LimiterDecision decision = instance.limiter_.tick(node.core_.view(network_.now_), usageOf(instance), network_.now_);
        instance.allowances_ = decision.allowances_;
        LocalState state;
        state.participantsDigest_ = decision.participantsDigest_;
        network_.apply(id, LocalStateChanged { state });
        for (const LimiterMessage& message : decision.messages_)
            network_.send(id, message.to_, message.content_);
    }

    void start(LimiterInstance& instance)
    {
        for (int tries = 0; tries < 6; ++tries) {
            const MinionId minion = nameOf(static_cast<int>(network_.random_.below(minions)));
            const Time end = network_.now_ + Duration(static_cast<Duration::rep>(network_.random_.below(4'900'000)));
            if (hasFreeSlot(instance.allowances_[minion], instance.busy_[minion], end, network_.now_))
                instance.busy_[minion].push_back(end);
        }
    }

    void dropEnded(LimiterInstance& instance) const
    {
        for (auto& [minion, ends] : instance.busy_)
            ends.erase(std::remove_if(ends.begin(), ends.end(), [&](Time end) { return end <= network_.now_; }), ends.end());
    }

    void receive(const InstanceId& to, const PeerMessage& message)
    {
        LimiterInstance& instance = instances_.at(to);
        if (const auto* grant = std::get_if<LoanGrant>(&message.content_))
            instance.limiter_.borrow(*grant);
        if (const auto* request = std::get_if<LoanRequest>(&message.content_)) {
            const auto grant = instance.limiter_.lend(*request, network_.now_);
            instance.allowances_ = instance.limiter_.allowances(network_.now_);
            if (grant)
                network_.send(to, message.sender_, instance.limiter_.confirmGrant(*grant, usageOf(instance), network_.now_));
        }
        instance.allowances_ = instance.limiter_.allowances(network_.now_);
    }

    int steps_ = 0;
};

/** Injects a random join, crash, partition or pause; only crashed and paused instances are unlisted. */
void injectRandomFault(LimiterSimulation& simulation)
{
    VirtualNetwork& network = simulation.network_;
    std::vector<InstanceId> running;
    for (const auto& [id, node] : network.nodes_) {
        if (node.isRunning_)
            running.push_back(id);
    }
    const InstanceId target = running[network.random_.below(running.size())];
    switch (network.random_.below(6)) {
    case 0:
        simulation.add(network.random_.below(4) == 0 ? "dc1" : "dc0");
        return;
    case 1:
        if (running.size() > 2) {
            network.nodes_.at(target).isRunning_ = false;
            network.unlist(target);
        }
        return;
    case 2:
        network.cut_.insert(target);
        return;
    case 3:
        network.cut_.clear();
        return;
    case 4:
        network.nodes_.at(target).isPaused_ = true;
        if (network.random_.below(2) == 0)
            network.unlist(target);
        return;
    default:
        for (auto& [id, node] : network.nodes_)
            node.isPaused_ = false;
    }
}

}

/** Sharing of minions' slots between instances. */
class MinionLimiterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MinionLimiterTest);
    CPPUNIT_TEST(sumStaysWithinSlots);
    CPPUNIT_TEST(usesAllSlots);
    CPPUNIT_TEST(lendsUnusedShares);
    CPPUNIT_TEST_SUITE_END();

    void sumStaysWithinSlots()
    {
        CHECK_PROPERTY("no minion has more attempts in progress than slots", [] {
            LimiterSimulation simulation(*rc::gen::arbitrary<std::uint64_t>());
            for (int count = 0; count < 3; ++count)
                simulation.add("dc0");
            simulation.network_.faults_ = { 0.1, 0.1, std::chrono::milliseconds(1500) };
            for (int round = 0; round < 25; ++round) {
                injectRandomFault(simulation);
                for (int step = 0; step < 40; ++step) {
                    simulation.run(std::chrono::milliseconds(100));
                    for (int minion = 0; minion < minions; ++minion)
                        RC_ASSERT(simulation.busyOn(LimiterSimulation::nameOf(minion)) <= slots);
                }
            }
        });
    }

    void usesAllSlots()
    {
        LimiterSimulation simulation(5);
        simulation.allInstancesWantSlots_ = true;
        for (int count = 0; count < 3; ++count)
            simulation.add("dc0");
        simulation.run(std::chrono::seconds(40));
        CPPUNIT_ASSERT(simulation.busy() >= slots * minions * 9 / 10);
    }

    void lendsUnusedShares()
    {
        LimiterSimulation simulation(6);
        const InstanceId borrower = simulation.add("dc1");
        for (int count = 0; count < 3; ++count)
            simulation.add("dc0");
        simulation.run(std::chrono::seconds(20));
        int most = 0;
        for (int round = 0; round < 100; ++round) {
            for (auto& [id, instance] : simulation.instances_)
                instance.wanted_ = id == borrower ? 30 : 0;
            simulation.run(std::chrono::milliseconds(100));
            most = std::max(most, simulation.busy());
        }
        // The borrower's data centre has no minions, so all of its slots are lent.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most >= slots * minions / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MinionLimiterTest);
