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
 * sightings of leaving minions. Its lock is taken before the router's and
 * membership's own ones. Thread-safe.
 */
class SlotSharing {
public:
    /** Both outlive this object; membership stops calling its listeners before. */
    SlotSharing(RequestRouter&, MembershipService&, const RouterIdentity&);
    ~SlotSharing();
    SlotSharing(const SlotSharing&) = delete;
    SlotSharing& operator=(const SlotSharing&) = delete;

    /** True once this instance uses a share of its own. */
    bool isEstablished() const;

    /** Standing and loans, for operators. */
    JsonValue dump() const;

private:
    void run();
    void tick();
    void exchangeSightings(const MembershipView&);
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
