#pragma once

#include "membership/membershipservice.h"
#include "routing/minionlimiter.h"
#include "routing/requestrouter.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

namespace fescuecleat {

/**
 * Connects the router with membership: shares slots with peers and exchanges
 * reports of leaving minions. Its lock is taken before those of the router and
 * of membership. Thread-safe.
 */
class SlotSharing {
public:
    /** Router and membership must outlive this object; membership must stop calling listeners before. */
    SlotSharing(RequestRouter&, MembershipService&, const RouterIdentity&);
    ~SlotSharing();
    SlotSharing(const SlotSharing&) = delete;
    SlotSharing& operator=(const SlotSharing&) = delete;

    /** True if this instance uses its own share of the slots. */
    bool isEstablished() const;

    /** State and loan counts, for operators. */
    JsonValue dump() const;

private:
    void run();
    void tick();
    void applyLeavingReports(const MembershipView&);
    void receive(const PeerMessage&);
    void lend(const InstanceId& to, const LoanRequest&);

    RequestRouter& router_;
    MembershipService& membership_;
    mutable std::mutex mutex_;
    MinionLimiter limiter_;
    std::uint64_t loansGiven_ = 0;
    std::uint64_t loansTaken_ = 0;
    std::condition_variable stop_;
    bool isStopping_ = false;
    std::thread thread_;
};

}
