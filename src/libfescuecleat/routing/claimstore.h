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

/** The request ran before; this is what it was answered. */
struct ClaimAnswered {
    Answered answer_;
};

/** The request was dispatched before and no answer is recorded yet. */
struct ClaimInProgress {
    std::string instance_;
};

/** The request was dispatched before and whether it ran will never be known here. */
struct ClaimUnknown {
};

/** The key stands for another request. */
struct ClaimMismatch {
};

/** No claim could be written; nothing was dispatched. */
struct ClaimImpossible {
    std::string reason_;
};

using ClaimResult = std::variant<ClaimTaken, ClaimAnswered, ClaimInProgress, ClaimUnknown, ClaimMismatch, ClaimImpossible>;

/** Claims of non-idempotent requests in the platform's table. Thread-safe. */
class ClaimStore {
public:
    /** `uniqueName` differs for every start of every process. */
    ClaimStore(Table&, ObjectStore&, std::string instance, const std::string& uniqueName);

    /** Takes the claim of the request or says what became of it earlier. */
    ClaimResult claim(const ServiceRequest&, Time deadline);

    /** Says what became of an earlier call without taking a claim; ClaimImpossible if nothing is known. */
    ClaimResult lookUp(const ServiceRequest&, Time deadline);

    /** Records the answer in the background. */
    void record(const ClaimTaken&, const Answered&, Time now);

    /** Records in the background that no answer will come. */
    void recordUnknown(const ClaimTaken&, Time now);

    /** Gives up a claim whose request did not run, in the background. */
    void release(const ClaimTaken&, Time now);

    /** Records and releases that are not written yet. */
    std::size_t pending() const { return committer_.pending(); }

private:
    void rewrite(const ClaimTaken&, const RequestClaim&, Time now);
    ClaimResult judgeExisting(const Row&, const RequestClaim& mine, Time deadline);
    ClaimResult readBack(const std::string& key, const RequestClaim& mine, Time deadline);

    Table& table_;
    ObjectStore& objects_;
    std::string instance_;
    std::string uniqueName_;
    std::atomic<std::uint64_t> claims_ { 0 };
    GroupCommitter committer_;
};

}
