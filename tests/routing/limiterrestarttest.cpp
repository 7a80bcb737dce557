#include "routing/minionlimiter.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;

/** An instance that restarts under its name while it has lent slots. */
class LimiterRestartTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LimiterRestartTest);
    CPPUNIT_TEST(restartedInstanceLeavesLentSlotsToTheBorrower);
    CPPUNIT_TEST_SUITE_END();

    const DataCentreId dataCentre_ { "d" };
    const InstanceId lender_ { "i1" };
    const InstanceId borrower_ { "i2" };
    const MinionId minion_ { "m" };
    static constexpr int slots = 8;

    SlotUsage usage(int waiting) const
    {
        SlotUsage usage;
        usage.minions_[minion_] = { dataCentre_, slots, 0 };
        usage.waitingRequests_ = waiting;
        return usage;
    }

    MembershipView view(const InstanceId& self, std::uint64_t digest, Time now) const
    {
        MembershipView view;
        view.self_ = self;
        view.dataCentre_ = dataCentre_;
        view.acknowledgedAt_ = now;
        for (const InstanceId& id : { lender_, borrower_ }) {
            MemberView& member = view.members_[id];
            member.record_.id_ = id;
            member.record_.dataCentre_ = dataCentre_;
            member.record_.state_.participantsDigest_ = digest;
            member.lastHeardAt_ = now;
            member.isListed_ = true;
            member.isAlive_ = true;
        }
        return view;
    }

    void restartedInstanceLeavesLentSlotsToTheBorrower()
    {
        Time now { std::chrono::hours(1) };
        MinionLimiter lender(lender_, dataCentre_, 1);
        MinionLimiter borrower(borrower_, dataCentre_, 2);
        std::uint64_t digest = 0;
        LimiterDecision lent;
        LimiterDecision borrowed;
        for (int tick = 0; tick < 30; ++tick) {
            lent = lender.tick(view(lender_, digest, now), usage(0), now);
            borrowed = borrower.tick(view(borrower_, digest, now), usage(tick < 20 ? 0 : 8), now);
            digest = lent.participantsDigest_;
            for (const LimiterMessage& message : borrowed.messages_) {
                const auto* request = std::get_if<LoanRequest>(&message.content_);
                const auto grant = request ? lender.lend(*request, now) : std::nullopt;
                if (grant)
                    borrower.borrow(lender.confirmGrant(*grant, usage(0), now));
            }
            now += std::chrono::milliseconds(100);
        }
        const int used = borrower.allowances(now).at(minion_).slotsAt(now);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(used), used > slots / 2);

        // The process takes a second to start again; the first heartbeats are exchanged at once.
        now += std::chrono::seconds(1);
        borrower.tick(view(borrower_, digest, now), usage(8), now);
        MinionLimiter restarted(lender_, dataCentre_, 3);
        restarted.tick(view(lender_, digest, now), usage(0), now);
        now += std::chrono::milliseconds(100);
        const LimiterDecision own = restarted.tick(view(lender_, digest, now), usage(0), now);
        const auto allowance = own.allowances_.find(minion_);
        const int ownSlots = allowance == own.allowances_.end() ? 0 : allowance->second.slotsAt(now);
        const int borrowedSlots = borrower.allowances(now).at(minion_).slotsAt(now);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ownSlots) + " + " + std::to_string(borrowedSlots) + " slots", ownSlots + borrowedSlots <= slots);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LimiterRestartTest, "incarnations");
