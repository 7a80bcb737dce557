#include "routing/requestrouter.h"
#include "routing/fakehttpclient.h"
#include "routing/fakeplatform.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <thread>

using namespace fescuecleat;

namespace {

/** A router with one service, some minions and fake dependencies. */
class RouterFixture {
public:
    explicit RouterFixture(FakeHttpClient::Behaviour behaviour = &FakeHttpClient::echo, int minions = 3, const std::string& instance = "e1", FakeTable* table = nullptr)
        : client_(std::move(behaviour))
        , table_(table == nullptr ? ownTable_ : *table)
        , router_(client_, table_, objects_, { InstanceId(instance), DataCentreId("dc1"), 7 })
    {
        router_.configure({ { ServiceId("desk"), 8, 60 } });
        std::vector<ListedInstance> listed;
        for (int index = 0; index < minions; ++index) {
            ListedInstance minion;
            minion.id_ = "m" + std::to_string(index);
            minion.role_ = InstanceRole::Minion;
            minion.dataCentre_ = DataCentreId("dc1");
            minion.address_ = { "127.0.0.1", static_cast<unsigned short>(9000 + index) };
            minion.group_ = "desk";
            listed.push_back(minion);
        }
        router_.setMinions(listed);
        listed_ = listed;
    }

    static ServiceRequest request(bool isIdempotent, const std::string& id = "r1", const std::string& key = "k1")
    {
        ServiceRequest request;
        request.id_ = RequestId(id);
        request.organisation_ = OrganisationId("studio");
        request.service_ = ServiceId("desk");
        request.kind_ = "reprice";
        request.body_ = "gel";
        request.deadline_ = monotonicNow() + std::chrono::seconds(5);
        request.isIdempotent_ = isIdempotent;
        request.idempotencyKey_ = isIdempotent ? "" : key;
        return request;
    }

    FakeHttpClient client_;
    FakeTable ownTable_;
    FakeTable& table_;
    FakeObjectStore objects_;
    RequestRouter router_;
    std::vector<ListedInstance> listed_;
};

std::string bodyOf(const RequestOutcome& outcome)
{
    const auto* answered = std::get_if<Answered>(&outcome);
    CPPUNIT_ASSERT(answered != nullptr);
    return answered->body_;
}

}

/** Outcomes of routed requests under single failures. */
class RequestRouterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestRouterTest);
    CPPUNIT_TEST(forwardsIdAndDeadline);
    CPPUNIT_TEST(neverResendsPossiblyRunRequest);
    CPPUNIT_TEST(rejectsAnswerToAnotherRequest);
    CPPUNIT_TEST(retriesIdempotentOnAnotherMinion);
    CPPUNIT_TEST(retriesWithinBudget);
    CPPUNIT_TEST(repeatsTheRecordedAnswer);
    CPPUNIT_TEST(refusesWithoutClaim);
    CPPUNIT_TEST(readsBackItsOwnClaim);
    CPPUNIT_TEST(releasesClaimAfterNotStarted);
    CPPUNIT_TEST(sendsNothingNewToLeavingMinion);
    CPPUNIT_TEST(finishesBeforeItStops);
    CPPUNIT_TEST_SUITE_END();

    void forwardsIdAndDeadline()
    {
        RouterFixture fixture;
        CPPUNIT_ASSERT_EQUAL(std::string("done: gel"), bodyOf(fixture.router_.route(RouterFixture::request(true))));
        const SentMessage sent = fixture.client_.sent().at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), sent.request_.headers_.at("x-request-id"));
        const int left = std::stoi(sent.request_.headers_.at("x-deadline-ms"));
        CPPUNIT_ASSERT(left > 0 && left <= 5000);
        CPPUNIT_ASSERT(sent.mayReuse_);
    }

    void neverResendsPossiblyRunRequest()
    {
        RouterFixture fixture([](const SentMessage&) { return FakeHttpClient::failure(TransportFailure::NoAnswer); });
        CPPUNIT_ASSERT(std::holds_alternative<OutcomeUnknown>(fixture.router_.route(RouterFixture::request(false))));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.client_.sent().size());
        CPPUNIT_ASSERT(!fixture.client_.sent().at(0).mayReuse_);
        waitUntilRecorded(fixture);
        // The repeated call finds the claim and must not be sent.
        CPPUNIT_ASSERT(std::holds_alternative<OutcomeUnknown>(fixture.router_.route(RouterFixture::request(false, "r2"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.client_.sent().size());
    }

    void rejectsAnswerToAnotherRequest()
    {
        for (const char* echo : { "another", "" }) {
            RouterFixture fixture([echo](const SentMessage& message) {
                FakeHttpClient::Answer answer = FakeHttpClient::notStarted(message);
                answer->headers_["x-request-id"] = echo;
                return answer;
            });
            CPPUNIT_ASSERT(std::holds_alternative<OutcomeUnknown>(fixture.router_.route(RouterFixture::request(false))));
            CPPUNIT_ASSERT(std::holds_alternative<OutcomeUnknown>(fixture.router_.route(RouterFixture::request(true))));
            CPPUNIT_ASSERT(fixture.router_.counters().unusableAnswers_ >= 2);
        }
    }

    void retriesIdempotentOnAnotherMinion()
    {
        RouterFixture fixture([](const SentMessage& message) {
            return message.address_.port_ == 9000 ? FakeHttpClient::failure(TransportFailure::NoAnswer) : FakeHttpClient::echo(message);
        });
        for (int count = 0; count < 50; ++count)
            CPPUNIT_ASSERT_EQUAL(std::string("done: gel"), bodyOf(fixture.router_.route(RouterFixture::request(true))));
        CPPUNIT_ASSERT(fixture.router_.counters().ejections_ >= 1);
        CPPUNIT_ASSERT(fixture.client_.sent().size() <= 50 + 5);
    }

    void retriesWithinBudget()
    {
        RouterFixture fixture([](const SentMessage&) { return FakeHttpClient::failure(TransportFailure::NoAnswer); });
        for (int count = 0; count < 50; ++count)
            CPPUNIT_ASSERT(!std::holds_alternative<Answered>(fixture.router_.route(RouterFixture::request(true))));
        CPPUNIT_ASSERT(fixture.client_.sent().size() <= 50 + 10);
    }

    void repeatsTheRecordedAnswer()
    {
        const std::string large(100000, 'x');
        RouterFixture first([&](const SentMessage& message) {
            FakeHttpClient::Answer answer = FakeHttpClient::echo(message);
            answer->body_ = large;
            return answer;
        });
        CPPUNIT_ASSERT_EQUAL(large, bodyOf(first.router_.route(RouterFixture::request(false))));
        CPPUNIT_ASSERT_EQUAL(large, bodyOf(first.router_.route(RouterFixture::request(false, "r2"))));
        RouterFixture second(&FakeHttpClient::echo, 3, "e2", &first.table_);
        ServiceRequest small = RouterFixture::request(false, "r3", "k2");
        small.kind_ = "print";
        CPPUNIT_ASSERT_EQUAL(std::string("done: gel"), bodyOf(second.router_.route(small)));
        CPPUNIT_ASSERT_EQUAL(std::string("done: gel"), bodyOf(first.router_.route(small)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.client_.sent().size());
        small.body_ = "acrylic";
        CPPUNIT_ASSERT(std::holds_alternative<NotRun>(second.router_.route(small)));
    }

    void refusesWithoutClaim()
    {
        RouterFixture fixture;
        fixture.table_.setFault(TableFault::Down);
        CPPUNIT_ASSERT(std::holds_alternative<NotRun>(fixture.router_.route(RouterFixture::request(false))));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.client_.sent().size());
        CPPUNIT_ASSERT(std::holds_alternative<Answered>(fixture.router_.route(RouterFixture::request(true))));
    }

    void readsBackItsOwnClaim()
    {
        RouterFixture fixture;
        fixture.table_.setFault(TableFault::LoseAnswer);
        CPPUNIT_ASSERT(std::holds_alternative<Answered>(fixture.router_.route(RouterFixture::request(false))));
        CPPUNIT_ASSERT(std::holds_alternative<Answered>(fixture.router_.route(RouterFixture::request(false, "r2"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.client_.sent().size());
    }

    void releasesClaimAfterNotStarted()
    {
        RouterFixture fixture(&FakeHttpClient::notStarted);
        CPPUNIT_ASSERT(std::holds_alternative<NotRun>(fixture.router_.route(RouterFixture::request(false))));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.client_.sent().size());
        waitUntilRecorded(fixture);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.table_.rowCount());
    }

    void sendsNothingNewToLeavingMinion()
    {
        RouterFixture fixture([](const SentMessage& message) {
            FakeHttpClient::Answer answer = FakeHttpClient::echo(message);
            if (message.address_.port_ == 9001)
                answer->headers_["x-leaving"] = "1";
            return answer;
        });
        for (int count = 0; count < 60; ++count)
            fixture.router_.route(RouterFixture::request(true));
        // The list is out of date and still shows the minion in service.
        fixture.router_.setMinions(fixture.listed_);
        for (int count = 0; count < 60; ++count)
            fixture.router_.route(RouterFixture::request(true));
        int sent = 0;
        for (const SentMessage& message : fixture.client_.sent())
            sent += message.address_.port_ == 9001 ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(1, sent);
        CPPUNIT_ASSERT(fixture.router_.leavingMinions().count(MinionId("m1")) == 1);
    }

    void finishesBeforeItStops()
    {
        std::atomic<bool> mayAnswer { false };
        RouterFixture fixture([&](const SentMessage& message) {
            while (!mayAnswer)
                std::this_thread::yield();
            return FakeHttpClient::echo(message);
        });
        RequestOutcome outcome = NotRun {};
        std::thread caller([&] { outcome = fixture.router_.route(RouterFixture::request(true)); });
        while (fixture.client_.sent().empty())
            std::this_thread::yield();
        fixture.router_.beginStop();
        CPPUNIT_ASSERT(std::holds_alternative<NotRun>(fixture.router_.route(RouterFixture::request(true))));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.router_.inProgress());
        mayAnswer = true;
        caller.join();
        CPPUNIT_ASSERT_EQUAL(std::string("done: gel"), bodyOf(outcome));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.router_.inProgress());
    }

    static void waitUntilRecorded(RouterFixture& fixture)
    {
        const Time deadline = monotonicNow() + std::chrono::seconds(5);
        while (fixture.router_.inProgress() > 0 && monotonicNow() < deadline)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestRouterTest);
