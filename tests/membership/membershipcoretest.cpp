#include "membership/virtualnetwork.h"
#include "support/property.h"

#include <string>

using namespace fescuecleat;

namespace {

/** What a view says that does not depend on the moment. */
std::map<InstanceId, LocalState> aliveStates(const MembershipView& view)
{
    std::map<InstanceId, LocalState> states;
    for (const auto& [id, member] : view.members_) {
        if (member.isAlive_)
            states[id] = member.record_.state_;
    }
    return states;
}

/** Joins, deaths, cuts and changes of state at random. */
void disturb(VirtualNetwork& network)
{
    std::vector<InstanceId> running;
    for (const auto& [id, node] : network.nodes_) {
        if (node.isRunning_)
            running.push_back(id);
    }
    const InstanceId one = running[network.random_.below(running.size())];
    switch (network.random_.below(5)) {
    case 0:
        network.add("dc" + std::to_string(network.random_.below(3)));
        return;
    case 1:
        if (running.size() > 4) {
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
    default:
        LocalState state;
        state.configurationVersion_ = network.random_.below(1000);
        state.leavingMinions_.insert(MinionId("m" + std::to_string(network.random_.below(9))));
        network.apply(one, LocalStateChanged { state });
    }
}

}

/** Views of instances over faulty networks. */
class MembershipCoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipCoreTest);
    CPPUNIT_TEST(viewsConverge);
    CPPUNIT_TEST(newsCrossesDataCentresInTwoSeconds);
    CPPUNIT_TEST(lateMessagesBringNobodyBack);
    CPPUNIT_TEST_SUITE_END();

    void viewsConverge()
    {
        CHECK_PROPERTY("after the faults end, all views show the same", [] {
            VirtualNetwork network(*rc::gen::arbitrary<std::uint64_t>());
            for (int count = 0; count < 7; ++count)
                network.add("dc" + std::to_string(count % 3));
            network.faults_ = { 0.2, 0.1, std::chrono::milliseconds(3000) };
            for (int round = 0; round < 12; ++round) {
                disturb(network);
                network.run(std::chrono::seconds(2));
            }
            network.faults_ = {};
            network.cut_.clear();
            network.run(std::chrono::seconds(45));
            std::map<InstanceId, LocalState> expected;
            for (const auto& [id, node] : network.nodes_) {
                if (node.isRunning_)
                    expected[id] = node.core_.view(network.now_).members_.at(id).record_.state_;
            }
            for (const auto& [id, node] : network.nodes_) {
                if (node.isRunning_)
                    RC_ASSERT(aliveStates(node.core_.view(network.now_)) == expected);
            }
        });
    }

    void newsCrossesDataCentresInTwoSeconds()
    {
        VirtualNetwork network(11);
        std::vector<InstanceId> ids;
        ids.reserve(18);
        for (int count = 0; count < 18; ++count)
            ids.push_back(network.add("dc" + std::to_string(count % 6)));
        network.run(std::chrono::seconds(20));
        LocalState state;
        state.leavingMinions_.insert(MinionId("m1"));
        network.apply(ids.back(), LocalStateChanged { state });
        network.run(std::chrono::seconds(2));
        for (const InstanceId& id : ids) {
            const MembershipView view = network.nodes_.at(id).core_.view(network.now_);
            CPPUNIT_ASSERT_MESSAGE(id.value(), view.members_.at(ids.back()).record_.state_ == state);
        }
    }

    void lateMessagesBringNobodyBack()
    {
        VirtualNetwork network(3);
        const InstanceId first = network.add("dc0");
        const InstanceId second = network.add("dc0");
        network.run(std::chrono::seconds(10));
        Heartbeat old;
        old.member_ = network.nodes_.at(first).core_.view(network.now_).members_.at(second).record_;
        network.nodes_.at(second).isRunning_ = false;
        network.unlist(second);
        network.run(std::chrono::seconds(60));
        network.apply(first, PeerMessageReceived { { second, old } });
        CPPUNIT_ASSERT(network.nodes_.at(first).core_.view(network.now_).members_.count(second) == 0);
        // A new start of the same instance is another matter.
        ++old.member_.incarnation_;
        network.apply(first, PeerMessageReceived { { second, old } });
        CPPUNIT_ASSERT(network.nodes_.at(first).core_.view(network.now_).members_.at(second).isAlive_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipCoreTest);
