#include "membership/membershipservice.h"
#include "membership/peercodec.h"
#include "support/ports.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <thread>
#include <vector>
#include <zmq.hpp>

using namespace fescuecleat;

namespace {

using ServicePointer = std::unique_ptr<MembershipService>;

Settings settingsOf(int index)
{
    Settings settings;
    settings.instance_ = InstanceId("e" + std::to_string(index));
    settings.dataCentre_ = DataCentreId("dc1");
    settings.peerAddress_ = test::freeAddress();
    return settings;
}

std::vector<ListedInstance> listOf(const std::vector<Settings>& all)
{
    std::vector<ListedInstance> listed;
    for (const Settings& settings : all) {
        ListedInstance instance;
        instance.id_ = settings.instance_.value();
        instance.dataCentre_ = settings.dataCentre_;
        instance.peerAddress_ = settings.peerAddress_;
        listed.push_back(instance);
    }
    return listed;
}

template <typename Condition>
bool becomesTrue(Condition condition)
{
    const Time deadline = monotonicNow() + std::chrono::seconds(15);
    while (!condition() && monotonicNow() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    return condition();
}

std::size_t aliveCount(const ServicePointer& service)
{
    return service->view()->aliveIn(DataCentreId("dc1")).size();
}

}

/** Membership over TCP sockets. */
class MembershipServiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipServiceTest);
    CPPUNIT_TEST(refusesToListenBeyondLoopbackWithoutKeys);
    CPPUNIT_TEST(findsPeersAndLosesThoseCutOff);
    CPPUNIT_TEST(letsInOnlyHoldersOfTheKey);
    CPPUNIT_TEST_SUITE_END();

    void refusesToListenBeyondLoopbackWithoutKeys()
    {
        Settings settings = settingsOf(0);
        settings.peerAddress_.ip_ = "0.0.0.0";
        const auto service = MembershipService::start(settings, 1);
        CPPUNIT_ASSERT(!service);
        CPPUNIT_ASSERT(service.error().kind_ == ErrorKind::Forbidden);
    }

    void findsPeersAndLosesThoseCutOff()
    {
        const std::vector<Settings> all { settingsOf(0), settingsOf(1) };
        const std::vector<ServicePointer> services = startAll(all);
        LocalState state;
        state.leavingMinions_.insert(MinionId("m7"));
        services[0]->setLocalState(state);
        CPPUNIT_ASSERT(becomesTrue([&] {
            const auto view = services[1]->view();
            const auto peer = view->members_.find(InstanceId("e0"));
            return peer != view->members_.end() && peer->second.isAlive_ && peer->second.record_.state_ == state;
        }));
        services[0]->setCut({ InstanceId("e1") });
        CPPUNIT_ASSERT(becomesTrue([&] { return aliveCount(services[1]) == 1; }));
        services[0]->setCut({});
        CPPUNIT_ASSERT(becomesTrue([&] { return aliveCount(services[1]) == 2; }));
    }

    void letsInOnlyHoldersOfTheKey()
    {
        std::vector<Settings> all { settingsOf(4), settingsOf(5) };
        setKeys(all[0]);
        all[1].peerPublicKey_ = all[0].peerPublicKey_;
        all[1].peerSecretKey_ = all[0].peerSecretKey_;
        const std::vector<ServicePointer> services = startAll(all);
        // The intruder knows the deployment's public key but connects with a key pair of its own.
        Settings intruder = settingsOf(6);
        setKeys(intruder);
        zmq::context_t context;
        zmq::socket_t socket(context, zmq::socket_type::push);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::curve_serverkey, all[0].peerPublicKey_);
        socket.set(zmq::sockopt::curve_publickey, intruder.peerPublicKey_);
        socket.set(zmq::sockopt::curve_secretkey, intruder.peerSecretKey_);
        socket.connect("tcp://127.0.0.1:" + std::to_string(all[0].peerAddress_.port_));
        Heartbeat heartbeat;
        heartbeat.member_.id_ = intruder.instance_;
        heartbeat.member_.dataCentre_ = intruder.dataCentre_;
        heartbeat.member_.incarnation_ = 1;
        heartbeat.member_.sequence_ = 1;
        const std::string bytes = encodePeerMessage({ intruder.instance_, heartbeat });
        socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
        CPPUNIT_ASSERT(becomesTrue([&] { return aliveCount(services[0]) == 2 && aliveCount(services[1]) == 2; }));
        CPPUNIT_ASSERT(services[0]->view()->members_.count(intruder.instance_) == 0);
    }

    static std::vector<ServicePointer> startAll(const std::vector<Settings>& all)
    {
        std::vector<ServicePointer> services;
        for (const Settings& settings : all) {
            auto service = MembershipService::start(settings, 1);
            CPPUNIT_ASSERT_MESSAGE(service ? "" : describe(service.error()), service);
            (*service)->setInstanceList(listOf(all));
            services.push_back(std::move(*service));
        }
        return services;
    }

    static void setKeys(Settings& settings)
    {
        constexpr std::size_t keyBuffer = 41;
        std::string publicKey(keyBuffer, '\0');
        std::string secretKey(keyBuffer, '\0');
        CPPUNIT_ASSERT_EQUAL(0, zmq_curve_keypair(publicKey.data(), secretKey.data()));
        publicKey.pop_back();
        secretKey.pop_back();
        settings.peerPublicKey_ = publicKey;
        settings.peerSecretKey_ = secretKey;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipServiceTest);
