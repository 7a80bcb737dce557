#include "routing/claimstore.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Larger bodies are stored as an object. */
    constexpr std::size_t maxInlineBodyBytes = 16U << 10U;
    /** The table counts as unreachable when writing a claim takes longer. */
    constexpr Duration claimTimeout { std::chrono::seconds(2) };
    /** Failed background writes are retried for this long. */
    constexpr Duration backgroundWriteTimeout { std::chrono::seconds(60) };
    constexpr Duration objectStoreTimeout { std::chrono::seconds(5) };

}

ClaimStore::ClaimStore(Table& table, ObjectStore& objects, std::string instance, const std::string& uniqueName)
    : table_(table)
    , objects_(objects)
    , instance_(std::move(instance))
    , uniqueName_(uniqueName)
    , committer_(table, uniqueName + "-claims")
{
}

ClaimResult ClaimStore::claim(const ServiceRequest& request, Time deadline)
{
    RequestClaim ownClaim;
    ownClaim.id_ = uniqueName_ + "-" + std::to_string(++claimCount_);
    ownClaim.instance_ = instance_;
    ownClaim.digest_ = claimDigest(request);
    const std::string key = claimKey(request);
    const Time claimDeadline = std::min(deadline, monotonicNow() + claimTimeout);
    const Result<CommitOutcome> outcome = committer_.write({ { key, 0 }, { key, writeRequestClaim(ownClaim) } }, claimDeadline);
    if (!outcome) {
        if (outcome.error().kind_ == ErrorKind::OutcomeUnknown)
            return readBack(key, ownClaim, claimDeadline);
        return ClaimFailed { outcome.error().message_ };
    }
    if (const auto* committed = std::get_if<Committed>(&*outcome))
        return ClaimTaken { ownClaim, key, committed->revision_ };
    return resolveExisting(std::get<Conflicted>(*outcome).current_.front(), ownClaim, deadline);
}

ClaimResult ClaimStore::lookUp(const ServiceRequest& request, Time deadline)
{
    const Result<Row> row = table_.read(claimKey(request), deadline);
    if (!row)
        return ClaimFailed { row.error().message_ };
    if (row->version_ == 0)
        return ClaimFailed { "there is no claim for the idempotency key" };
    RequestClaim ownClaim;
    ownClaim.digest_ = claimDigest(request);
    return resolveExisting(*row, ownClaim, deadline);
}

void ClaimStore::recordAnswer(const ClaimTaken& taken, const Answered& answer, Time now)
{
    RequestClaim claim = taken.claim_;
    RecordedAnswer recorded { answer.status_, answer.headers_, answer.body_, {} };
    if (answer.body_.size() > maxInlineBodyBytes) {
        recorded.object_ = taken.key_ + "/" + claim.id_;
        recorded.body_.clear();
        // An answer without its body can't be repeated, so the claim stays in progress.
        if (!objects_.put(recorded.object_, answer.body_, now + objectStoreTimeout))
            return;
    }
    claim.answer_ = std::move(recorded);
    updateClaim(taken, claim, now);
}

void ClaimStore::recordOutcomeUnknown(const ClaimTaken& taken, Time now)
{
    RequestClaim claim = taken.claim_;
    claim.isOutcomeUnknown_ = true;
    updateClaim(taken, claim, now);
}

void ClaimStore::updateClaim(const ClaimTaken& taken, const RequestClaim& claim, Time now)
{
    committer_.writeInBackground({ { taken.key_, taken.version_ }, { taken.key_, writeRequestClaim(claim) } }, now + backgroundWriteTimeout);
}

void ClaimStore::release(const ClaimTaken& taken, Time now)
{
    committer_.writeInBackground({ { taken.key_, taken.version_ }, { taken.key_, std::nullopt } }, now + backgroundWriteTimeout);
}

ClaimResult ClaimStore::resolveExisting(const Row& row, const RequestClaim& ownClaim, Time deadline)
{
    const Result<RequestClaim> existing = parseRequestClaim(row);
    if (!existing)
        return ClaimInProgress { "unknown (unreadable claim)" };
    if (existing->id_ == ownClaim.id_)
        return ClaimTaken { ownClaim, row.key_, row.version_ };
    if (existing->digest_ != ownClaim.digest_)
        return ClaimMismatch {};
    if (existing->isOutcomeUnknown_)
        return ClaimOutcomeUnknown {};
    if (!existing->answer_)
        return ClaimInProgress { existing->instance_ };
    Answered answer { existing->answer_->status_, existing->answer_->headers_, existing->answer_->body_ };
    if (!existing->answer_->object_.empty()) {
        Result<std::string> body = objects_.get(existing->answer_->object_, deadline);
        if (!body)
            return ClaimInProgress { existing->instance_ };
        answer.body_ = std::move(*body);
    }
    return ClaimAnswered { std::move(answer) };
}

ClaimResult ClaimStore::readBack(const std::string& key, const RequestClaim& ownClaim, Time deadline)
{
    // The deadline of the commit may have passed already; the read needs some time beyond it.
    const Result<Row> row = table_.read(key, std::max(deadline, monotonicNow() + claimTimeout / 4));
    if (row && row->version_ != 0)
        return resolveExisting(*row, ownClaim, deadline);
    // The claim may have been written, but the request is never dispatched under it.
    return ClaimFailed { "the table did not confirm the write" };
}

}
