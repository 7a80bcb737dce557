#include "routing/claimstore.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Larger bodies go into an object. */
    constexpr std::size_t largestBodyInRow = 16U << 10U;
    /** A claim that takes longer is refused: the table is out of reach. */
    constexpr Duration longestClaim { std::chrono::seconds(2) };
    /** Records and releases are tried again for this long. */
    constexpr Duration backgroundTime { std::chrono::seconds(60) };
    constexpr Duration objectTime { std::chrono::seconds(5) };

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
    RequestClaim mine;
    mine.id_ = uniqueName_ + "-" + std::to_string(++claims_);
    mine.instance_ = instance_;
    mine.digest_ = claimDigest(request);
    const std::string key = claimKey(request);
    const Time latest = std::min(deadline, monotonicNow() + longestClaim);
    const Result<CommitOutcome> outcome = committer_.write({ { key, 0 }, { key, writeRequestClaim(mine) } }, latest);
    if (!outcome) {
        if (outcome.error().kind_ == ErrorKind::OutcomeUnknown)
            return readBack(key, mine, latest);
        return ClaimImpossible { outcome.error().message_ };
    }
    if (const auto* committed = std::get_if<Committed>(&*outcome))
        return ClaimTaken { mine, key, committed->revision_ };
    return judgeExisting(std::get<Conflicted>(*outcome).current_.front(), mine, deadline);
}

ClaimResult ClaimStore::lookUp(const ServiceRequest& request, Time deadline)
{
    const Result<Row> row = table_.read(claimKey(request), deadline);
    if (!row)
        return ClaimImpossible { row.error().message_ };
    if (row->version_ == 0)
        return ClaimImpossible { "there is no claim" };
    RequestClaim mine;
    mine.digest_ = claimDigest(request);
    return judgeExisting(*row, mine, deadline);
}

void ClaimStore::record(const ClaimTaken& taken, const Answered& answer, Time now)
{
    RequestClaim claim = taken.claim_;
    RecordedAnswer recorded { answer.status_, answer.headers_, answer.body_, {} };
    if (answer.body_.size() > largestBodyInRow) {
        recorded.object_ = taken.key_ + "/" + claim.id_;
        recorded.body_.clear();
        // Without its body the answer can't be repeated; the claim then stays unanswered.
        if (!objects_.put(recorded.object_, answer.body_, now + objectTime))
            return;
    }
    claim.answer_ = std::move(recorded);
    rewrite(taken, claim, now);
}

void ClaimStore::recordUnknown(const ClaimTaken& taken, Time now)
{
    RequestClaim claim = taken.claim_;
    claim.isUnknown_ = true;
    rewrite(taken, claim, now);
}

void ClaimStore::rewrite(const ClaimTaken& taken, const RequestClaim& claim, Time now)
{
    committer_.writeLater({ { taken.key_, taken.version_ }, { taken.key_, writeRequestClaim(claim) } }, now + backgroundTime);
}

void ClaimStore::release(const ClaimTaken& taken, Time now)
{
    committer_.writeLater({ { taken.key_, taken.version_ }, { taken.key_, std::nullopt } }, now + backgroundTime);
}

ClaimResult ClaimStore::judgeExisting(const Row& row, const RequestClaim& mine, Time deadline)
{
    const Result<RequestClaim> existing = parseRequestClaim(row);
    if (!existing)
        return ClaimInProgress { "an unreadable claim" };
    if (existing->id_ == mine.id_)
        return ClaimTaken { mine, row.key_, row.version_ };
    if (existing->digest_ != mine.digest_)
        return ClaimMismatch {};
    if (existing->isUnknown_)
        return ClaimUnknown {};
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

ClaimResult ClaimStore::readBack(const std::string& key, const RequestClaim& mine, Time deadline)
{
    // Some time beyond the commit's own deadline, or reading would always come too late.
    const Result<Row> row = table_.read(key, std::max(deadline, monotonicNow() + longestClaim / 4));
    if (row && row->version_ != 0)
        return judgeExisting(*row, mine, deadline);
    // Whatever became of the write, the request is never dispatched under it.
    return ClaimImpossible { "the table gave no certain answer" };
}

}
