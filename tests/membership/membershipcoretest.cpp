#include "membership/virtualnetwork.h"
#include "support/property.h"

#include <string>

using namespace fescuecleat;

namespace {

/** States of the live members, without timestamps. */
std::map<InstanceId, LocalState> aliveStates(const MembershipView& view)
{
    std::map<InstanceId, LocalState> states;
    for (const auto& [id, member] : view.members_) {
        if (member.isAlive_)
            states[id] = member.record_.state_;
    }
    return states;
}

/** Randomly adds or kills an instance, starts or ends a partition, or changes a state. */
void injectRandomFault(VirtualNetwork& network)
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

/** Convergence of views over unreliable networks. */
class MembershipCoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipCoreTest);
    CPPUNIT_TEST(viewsConverge);
    CPPUNIT_TEST(stateChangesReachOtherDataCentresWithinTwoSeconds);
    CPPUNIT_TEST(lateMessagesDoNotRestoreRemovedMembers);
    CPPUNIT_TEST_SUITE_END();

    void viewsConverge()
    {
        CHECK_PROPERTY("all views converge after the faults end", [] {
            VirtualNetwork network(*rc::gen::arbitrary<std::uint64_t>());
            for (int count = 0; count < 7; ++count)
                network.add("dc" + std::to_string(count % 3));
            network.faults_ = { 0.2, 0.1, std::chrono::milliseconds(3000) };
            for (int round = 0; round < 12; ++round) {
                injectRandomFault(network);
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

    void stateChangesReachOtherDataCentresWithinTwoSeconds()
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

    void lateMessagesDoNotRestoreRemovedMembers()
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
        // A higher incarnation means a restart, so the instance is added again.
        ++old.member_.incarnation_;
        network.apply(first, PeerMessageReceived { { second, old } });
        CPPUNIT_ASSERT(network.nodes_.at(first).core_.view(network.now_).members_.at(second).isAlive_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipCoreTest);
