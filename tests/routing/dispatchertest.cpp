#include "routing/dispatcher.h"
#include "support/property.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace fescuecleat;

namespace {

const Time start = Time(std::chrono::hours(1));

MinionId nameOf(int minion) { return MinionId("m" + std::to_string(minion)); }

/** A dispatcher with minions of two data centres that may use all their slots. */
Dispatcher makeDispatcher(int minions, int slots, std::uint64_t seed = 1, SelectionPolicy policy = SelectionPolicy::TwoRandomChoices)
{
    Dispatcher dispatcher({ DataCentreId("dc0"), seed, policy });
    MinionsListed listed;
    AllowancesChanged allowances;
    for (int minion = 0; minion < minions; ++minion) {
        listed.minions_.push_back({ nameOf(minion), DataCentreId(minion % 2 == 0 ? "dc0" : "dc1"), { "10.0.0.1", 1 }, false });
        allowances.allowances_[nameOf(minion)].ownSlots_ = slots;
    }
    dispatcher.apply(listed, start);
    dispatcher.apply(allowances, start);
    return dispatcher;
}

Submit submission(Ticket ticket, Time deadline, const std::string& organisation = "o0", bool isIdempotent = true)
{
    return { ticket, OrganisationId(organisation), "reprice", deadline, isIdempotent, {} };
}

/** Simple reference model that checks each action of the dispatcher. */
class ReferenceModel {
public:
    ReferenceModel(int minions, int slots)
        : minions_(minions)
        , slots_(slots)
    {
    }

    void submit(const Submit& request) { open_[request.ticket_] = request; }

    void apply(const std::vector<DispatchAction>& actions, Time now)
    {
        for (const DispatchAction& action : actions) {
            if (const auto* send = std::get_if<SendToMinion>(&action)) {
                RC_ASSERT(open_.count(send->ticket_) == 1U);
                RC_ASSERT(send->attemptDeadline_ <= open_[send->ticket_].deadline_ && now < send->attemptDeadline_);
                RC_ASSERT(leaving_.count(send->minion_.id_) == 0U);
                RC_ASSERT(busyOn(send->minion_.id_, now) < slots_);
                running_[send->ticket_] = { send->minion_.id_, send->attemptDeadline_ };
                open_.erase(send->ticket_);
            }
            if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
                RC_ASSERT(open_.erase(refusal->ticket_) == 1U);
                RC_ASSERT(refusal->retryAt_ > now);
            }
        }
    }

    /** Attempts count until their deadline at the latest. */
    int busyOn(const MinionId& minion, Time now) const
    {
        return static_cast<int>(std::count_if(running_.begin(), running_.end(), [&](const auto& entry) { return entry.second.first == minion && entry.second.second > now; }));
    }

    /** No request may wait while a usable minion has a free slot. */
    void checkWorkConserving(Time now) const
    {
        if (open_.empty())
            return;
        for (int minion = 0; minion < minions_; ++minion)
            RC_ASSERT(leaving_.count(nameOf(minion)) == 1U || busyOn(nameOf(minion), now) == slots_);
    }

    std::map<Ticket, Submit> open_;
    std::map<Ticket, std::pair<MinionId, Time>> running_;
    std::set<MinionId> leaving_;

private:
    int minions_;
    int slots_;
};

}

/** Tests the dispatcher against a reference model and in single scenarios. */
class DispatcherTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DispatcherTest);
    CPPUNIT_TEST(agreesWithReferenceModel);
    CPPUNIT_TEST(isDeterministic);
    CPPUNIT_TEST(prefersItsOwnDataCentre);
    CPPUNIT_TEST(sharesSlotsFairly);
    CPPUNIT_TEST(ejectsAtMostAThirdAndReinstates);
    CPPUNIT_TEST(spreadsRetryTimes);
    CPPUNIT_TEST(waitsForLoan);
    CPPUNIT_TEST_SUITE_END();

    void agreesWithReferenceModel()
    {
        CHECK_PROPERTY("slots, deadlines and leaving minions are respected, and no request waits while a slot is free", [](std::uint64_t seed) {
            constexpr int minions = 5;
            constexpr int slots = 2;
            Dispatcher dispatcher = makeDispatcher(minions, slots, seed, seed % 2 == 0 ? SelectionPolicy::TwoRandomChoices : SelectionPolicy::LeastLoaded);
            ReferenceModel model(minions, slots);
            RandomSource random(seed);
            Time now = start;
            for (Ticket ticket = 1; ticket < 300; ++ticket) {
                now += std::chrono::milliseconds(random.below(4));
                if (random.below(60) == 0) {
                    const MinionId minion = nameOf(static_cast<int>(random.below(minions)));
                    model.leaving_.insert(minion);
                    model.apply(dispatcher.apply(LeavingReported { minion }, now), now);
                }
                const Submit request = submission(ticket, now + std::chrono::milliseconds(2000 + random.below(3000)), "o" + std::to_string(random.below(3)), random.below(2) == 0);
                model.submit(request);
                model.apply(dispatcher.apply(request, now), now);
                if (!model.running_.empty() && random.below(3) != 0) {
                    const auto ended = std::next(model.running_.begin(), static_cast<std::ptrdiff_t>(random.below(model.running_.size())));
                    const Ticket endedTicket = ended->first;
                    model.running_.erase(ended);
                    model.apply(dispatcher.apply(AttemptEnded { endedTicket, HealthSignal::Success, now, false }, now), now);
                }
                model.checkWorkConserving(now);
            }
            RC_ASSERT(dispatcher.summary(now).waiting_ == model.open_.size());
        });
    }

    void isDeterministic()
    {
        const auto history = [] {
            Dispatcher dispatcher = makeDispatcher(8, 3, 99);
            std::string text;
            for (Ticket ticket = 1; ticket < 60; ++ticket) {
                for (const DispatchAction& action : dispatcher.apply(submission(ticket, start + std::chrono::seconds(1)), start)) {
                    if (const auto* send = std::get_if<SendToMinion>(&action))
                        text += send->minion_.id_.value() + " ";
                    if (const auto* refusal = std::get_if<RefuseRequest>(&action))
                        text += std::to_string(refusal->retryAt_.time_since_epoch().count()) + " ";
                }
            }
            return text;
        };
        CPPUNIT_ASSERT_EQUAL(history(), history());
    }

    void prefersItsOwnDataCentre()
    {
        Dispatcher dispatcher = makeDispatcher(4, 2);
        for (Ticket ticket = 1; ticket <= 8; ++ticket) {
            const auto actions = dispatcher.apply(submission(ticket, start + std::chrono::seconds(1)), start);
            const bool isOwn = std::get<SendToMinion>(actions.at(0)).minion_.dataCentre_ == DataCentreId("dc0");
            CPPUNIT_ASSERT_EQUAL(ticket <= 4, isOwn);
        }
    }

    void sharesSlotsFairly()
    {
        Dispatcher dispatcher = makeDispatcher(1, 1);
        const Time deadline = start + std::chrono::seconds(100);
        Ticket ticket = 0;
        dispatcher.apply(submission(++ticket, deadline), start);
        for (int count = 0; count < 50; ++count)
            dispatcher.apply(submission(++ticket, deadline, "burst"), start);
        const Ticket small = ++ticket;
        dispatcher.apply(submission(small, deadline, "small"), start);
        // The other organisation must not wait for the whole burst that came before it.
        Ticket running = 1;
        std::vector<Ticket> order;
        for (int count = 0; count < 3; ++count) {
            const auto actions = dispatcher.apply(AttemptEnded { running, HealthSignal::Success, start, false }, start + std::chrono::milliseconds(count + 1));
            running = std::get<SendToMinion>(actions.at(0)).ticket_;
            order.push_back(running);
        }
        CPPUNIT_ASSERT(std::find(order.begin(), order.end(), small) != order.end());
    }

    void ejectsAtMostAThirdAndReinstates()
    {
        constexpr int minions = 12;
        Dispatcher dispatcher = makeDispatcher(minions, 4);
        Time now = start;
        Ticket ticket = 0;
        const auto runOne = [&](bool isFailing) {
            now += std::chrono::milliseconds(5);
            const auto actions = dispatcher.apply(submission(++ticket, now + std::chrono::seconds(5)), now);
            const auto* send = std::get_if<SendToMinion>(&actions.at(0));
            if (send == nullptr)
                return;
            const HealthSignal signal = isFailing ? HealthSignal::Failure : HealthSignal::Success;
            dispatcher.apply(AttemptEnded { send->ticket_, signal, now, false }, now);
        };
        for (int count = 0; count < 400; ++count) {
            runOne(true);
            CPPUNIT_ASSERT(dispatcher.summary(now).ejected_ <= minions / 3);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(minions / 3), dispatcher.summary(now).ejected_);
        now += std::chrono::seconds(60);
        for (int count = 0; count < 400; ++count)
            runOne(false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), dispatcher.summary(now).ejected_);
    }

    void waitsForLoan()
    {
        Dispatcher dispatcher = makeDispatcher(1, 0);
        CPPUNIT_ASSERT(dispatcher.apply(submission(1, start + std::chrono::seconds(4)), start).empty());
        CPPUNIT_ASSERT(dispatcher.apply(submission(2, start + std::chrono::seconds(40)), start).empty());
        CPPUNIT_ASSERT_EQUAL(2, dispatcher.summary(start).wantedSlots_);
        const auto refused = dispatcher.apply(ClockTick {}, start + std::chrono::milliseconds(1001));
        CPPUNIT_ASSERT(refused.size() == 1 && std::get<RefuseRequest>(refused.at(0)).ticket_ == 1);
        // A loan is used only if it does not expire before the attempt ends.
        const Time now = start + std::chrono::seconds(2);
        AllowancesChanged changed;
        changed.allowances_[nameOf(0)].loans_ = { { 1, start + std::chrono::seconds(39) } };
        CPPUNIT_ASSERT(dispatcher.apply(changed, now).empty());
        changed.allowances_[nameOf(0)].loans_ = { { 1, start + std::chrono::seconds(41) } };
        CPPUNIT_ASSERT(std::get<SendToMinion>(dispatcher.apply(changed, now).at(0)).ticket_ == 2);
    }

    void spreadsRetryTimes()
    {
        Dispatcher dispatcher = makeDispatcher(1, 1);
        std::set<Time> retryTimes;
        dispatcher.apply(submission(1, start + std::chrono::seconds(1)), start);
        dispatcher.apply(AttemptEnded { 1, HealthSignal::Success, start, false }, start + std::chrono::milliseconds(100));
        const Time now = start + std::chrono::milliseconds(100);
        for (Ticket ticket = 2; ticket < 60; ++ticket) {
            for (const DispatchAction& action : dispatcher.apply(submission(ticket, now + std::chrono::milliseconds(300)), now)) {
                if (const auto* refusal = std::get_if<RefuseRequest>(&action))
                    retryTimes.insert(refusal->retryAt_);
            }
        }
        CPPUNIT_ASSERT(retryTimes.size() > 50);
        CPPUNIT_ASSERT(*retryTimes.rbegin() - *retryTimes.begin() > std::chrono::seconds(4));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);
