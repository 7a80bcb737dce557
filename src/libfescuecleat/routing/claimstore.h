#pragma once

#include "platform/objectstore.h"
#include "routing/groupcommitter.h"
#include "routing/requestclaim.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <variant>

namespace fescuecleat {

/** This instance holds the claim and may dispatch the request, once. */
struct ClaimTaken {
    RequestClaim claim_;
    std::string key_;
    std::uint64_t version_ = 0;
};

/** An earlier call ran the request and recorded its answer. */
struct ClaimAnswered {
    Answered answer_;
};

/** An earlier call dispatched the request; no answer is recorded yet. */
struct ClaimInProgress {
    std::string instance_;
};

/** An earlier call dispatched the request and lost the answer; it may or may not have run. */
struct ClaimOutcomeUnknown {
};

/** The idempotency key was already used for a different request. */
struct ClaimMismatch {
};

/** The claim could not be written or read; nothing was dispatched. */
struct ClaimFailed {
    std::string reason_;
};

using ClaimResult = std::variant<ClaimTaken, ClaimAnswered, ClaimInProgress, ClaimOutcomeUnknown, ClaimMismatch, ClaimFailed>;

/** Stores the claims of non-idempotent requests in the platform's table. Thread-safe. */
class ClaimStore {
public:
    /** `uniqueName` must be different for each start of each process. */
    ClaimStore(Table&, ObjectStore&, std::string instance, const std::string& uniqueName);

    /** Claims the request, or returns the state of the claim of an earlier call. */
    ClaimResult claim(const ServiceRequest&, Time deadline);

    /** Returns the state of an earlier call's claim without claiming; ClaimFailed if there is none. */
    ClaimResult lookUp(const ServiceRequest&, Time deadline);

    /** Records the answer in the background. */
    void recordAnswer(const ClaimTaken&, const Answered&, Time now);

    /** Records in the background that the answer was lost. */
    void recordOutcomeUnknown(const ClaimTaken&, Time now);

    /** Deletes in the background the claim of a request that did not run. */
    void release(const ClaimTaken&, Time now);

    /** Number of claim writes that are not committed yet. */
    std::size_t pending() const { return committer_.pending(); }

private:
    void updateClaim(const ClaimTaken&, const RequestClaim&, Time now);
    ClaimResult resolveExisting(const Row&, const RequestClaim& ownClaim, Time deadline);
    ClaimResult readBack(const std::string& key, const RequestClaim& ownClaim, Time deadline);

    Table& table_;
    ObjectStore& objects_;
    std::string instance_;
    std::string uniqueName_;
    std::atomic<std::uint64_t> claimCount_ { 0 };
    GroupCommitter committer_;
};

}
