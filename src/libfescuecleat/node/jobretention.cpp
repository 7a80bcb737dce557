#include "node/jobretention.h"

#include "base/bootclock.h"
#include "node/jobintake.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Expectations and removals of a job and its cancellation. */
    constexpr std::size_t entriesPerJob = 4;
    /** Jobs of a part are collected for this long, so that few transactions remove many rows. */
    constexpr Duration collectionTime = std::chrono::seconds(60);
    /** Pause between two transactions, which leaves the store's rates to others. */
    constexpr Duration removalInterval = std::chrono::milliseconds(250);
    constexpr Duration removalTimeout = std::chrono::milliseconds(1500);
    constexpr Duration retryDelay = std::chrono::seconds(2);
    /** Reads and messages of peers may show a removed row for some seconds. */
    constexpr Duration staleRowTime = std::chrono::seconds(60);

}

JobRetention::JobRetention(boost::asio::io_context& loop, RowStore& store, JsonEventLog& log, const StoreLimits& limits, Listener listener)
    : store_(store)
    , log_(log)
    , jobsPerRemoval_(std::max<std::size_t>(1, limits.transactionEntries_ / entriesPerJob))
    , listener_(std::move(listener))
    , reviewTimer_(loop)
{
}

bool JobRetention::addRow(const std::string& job, const StoredRow& row)
{
    const bool isCancellation = row.key_ != job;
    const auto known = rows_.find(job);
    // Rows of jobs are only inserted, so a removal was applied whose answer was lost or is still to come.
    if (known != rows_.end() && !isCancellation && known->second.job_ > 0 && row.version_ > known->second.job_ && isCollected(intakePartOf(job), job))
        intakeRemoved(intakePartOf(job), job);
    const auto removed = removed_.find(job);
    if (removed != removed_.end() && row.version_ <= removed->second.lastVersion_)
        return false;
    if (removed != removed_.end() && !removed->second.isRecordRemoved_) {
        removed->second.later_.push_back(row);
        return false;
    }
    IntakeRows& rows = rows_[job];
    if (!isCancellation && rows.job_ == 0)
        keep(job); // it was cancelled ahead, and ends only now
    std::uint64_t& version = isCancellation ? rows.cancellation_ : rows.job_;
    version = std::max(version, row.version_);
    return true;
}

void JobRetention::jobEnded(const std::string& job, Time removableAt)
{
    keep(job);
    rows_[job].removableAt_ = removableAt;
    due_.emplace(removableAt, job);
    reviewAfter(remaining(removableAt, bootTimeNow()));
}

void JobRetention::keep(const std::string& job)
{
    due_.erase({ rows_[job].removableAt_, job });
    uncollect(intakePartOf(job), job);
}

void JobRetention::uncollect(const std::string& part, const std::string& job)
{
    const auto collected = collected_.find(part);
    if (collected == collected_.end() || collected->second.jobs_.erase(job) == 0)
        return;
    --collectedCount_;
    if (collected->second.jobs_.empty())
        collected_.erase(collected);
}

void JobRetention::start()
{
    isStarted_ = true;
    reviewAfter(Duration::zero());
}

void JobRetention::reviewAfter(Duration delay)
{
    const Time at = bootTimeNow() + delay;
    if (!isStarted_ || at >= reviewAt_)
        return;
    reviewAt_ = at;
    reviewTimer_.start(delay, [this] {
        reviewAt_ = Time::max();
        review();
    });
}

void JobRetention::collectDue(Time now)
{
    while (!due_.empty() && due_.begin()->first <= now) {
        const std::string job = due_.begin()->second;
        due_.erase(due_.begin());
        Collected& collected = collected_[intakePartOf(job)];
        if (collected.jobs_.empty())
            collected.collectUntil_ = now + collectionTime;
        collectedCount_ += collected.jobs_.insert(job).second ? 1 : 0;
    }
}

Time JobRetention::removalTime(const Collected& collected) const
{
    return collected.jobs_.size() >= jobsPerRemoval_ ? collected.retryAt_ : std::max(collected.retryAt_, collected.collectUntil_);
}

void JobRetention::review()
{
    const Time now = bootTimeNow();
    forgetOldRemovals(now);
    collectDue(now);
    if (!removing_.empty())
        return;
    if (listener_.mayWrite_ && !listener_.mayWrite_())
        return reviewAfter(removalInterval);
    Time next = due_.empty() ? Time::max() : due_.begin()->first;
    for (const auto& [part, collected] : collected_) {
        const Time removalAt = removalTime(collected);
        if (removalAt <= now)
            return sendRemoval(part);
        next = std::min(next, removalAt);
    }
    if (next != Time::max())
        reviewAfter(remaining(next, now));
}

void JobRetention::sendRemoval(const std::string& part)
{
    RowTransaction transaction;
    transaction.part_ = part;
    for (const std::string& job : collected_.at(part).jobs_) {
        if (removing_.size() >= jobsPerRemoval_)
            break;
        // A removal that is executed late must not concern a new job with this id.
        const IntakeRows& rows = rows_[job];
        transaction.expectations_.push_back({ intakeTable, job, rows.job_ });
        transaction.expectations_.push_back({ intakeTable, cancelKey(job), rows.cancellation_ });
        if (rows.job_ > 0)
            transaction.deletions_.push_back({ intakeTable, job });
        if (rows.cancellation_ > 0)
            transaction.deletions_.push_back({ intakeTable, cancelKey(job) });
        removing_.push_back(job);
    }
    store_.commit(std::move(transaction), removalTimeout, lifetime_.guard([this, part](const tl::expected<StoreTimestamp, StoreFailure>& outcome) {
        const std::vector<std::string> jobs = std::exchange(removing_, {});
        if (outcome)
            handleRemoved(part, jobs);
        else if (outcome.error().kind_ == StoreFailureKind::Conflict)
            handleConflict(part, jobs, outcome.error().rows_);
        else
            handleFailure(part, jobs, outcome.error());
        reviewAfter(removalInterval);
    }));
}

void JobRetention::handleRemoved(const std::string& part, const std::vector<std::string>& jobs)
{
    for (const std::string& job : jobs)
        intakeRemoved(part, job);
    log_.write("retention.removed", { { "part", part }, { "jobs", jobs.size() }, { "kept", endedJobs() } });
}

void JobRetention::handleConflict(const std::string& part, const std::vector<std::string>& jobs, const std::vector<StoredRow>& rows)
{
    std::map<std::string, std::uint64_t> versions;
    for (const StoredRow& row : rows)
        versions[row.key_] = row.version_;
    for (const std::string& job : jobs) {
        if (!isCollected(part, job))
            continue;
        const auto versionOf = [&versions](const std::string& key) {
            const auto row = versions.find(key);
            return row == versions.end() ? 0 : row->second;
        };
        IntakeRows& known = rows_[job];
        const std::uint64_t cancellation = versionOf(cancelKey(job));
        const bool isCancelledAhead = known.job_ == 0;
        if (isCancelledAhead && versionOf(job) > 0)
            keep(job); // its submission has arrived
        else if (isCancelledAhead ? cancellation == 0 : versionOf(job) != known.job_)
            intakeRemoved(part, job); // by an earlier attempt, whose answer was lost, or by a former lease holder
        else
            known.cancellation_ = cancellation;
    }
}

void JobRetention::handleFailure(const std::string& part, const std::vector<std::string>& jobs, const StoreFailure& failure)
{
    log_.write("retention.removal_failed", { { "part", part }, { "jobs", jobs.size() }, { "cause", storeFailureName(failure.kind_) }, { "detail", failure.message_ } });
    if (const auto collected = collected_.find(part); collected != collected_.end())
        collected->second.retryAt_ = bootTimeNow() + retryDelay;
    if (failure.kind_ != StoreFailureKind::Rejected)
        return;
    // Sending the same again can't succeed; the next lease holder tries once more.
    for (const std::string& job : jobs)
        uncollect(part, job);
}

bool JobRetention::isCollected(const std::string& part, const std::string& job) const
{
    const auto collected = collected_.find(part);
    return collected != collected_.end() && collected->second.jobs_.count(job) > 0;
}

void JobRetention::intakeRemoved(const std::string& part, const std::string& job)
{
    if (!isCollected(part, job))
        return;
    uncollect(part, job);
    const IntakeRows rows = rows_[job];
    rows_.erase(job);
    removed_[job] = { std::max(rows.job_, rows.cancellation_), false, {} };
    if (rows.job_ == 0)
        recordRemoved(job); // it never had one
    else
        listener_.removeRecord_(job);
}

void JobRetention::recordRemoved(const std::string& job)
{
    const auto removed = removed_.find(job);
    if (removed == removed_.end())
        return;
    removed->second.isRecordRemoved_ = true;
    completed_.emplace_back(bootTimeNow() + staleRowTime, job);
    listener_.removed_(job, std::exchange(removed->second.later_, {}));
}

void JobRetention::forgetOldRemovals(Time now)
{
    const auto firstKept = std::find_if(completed_.begin(), completed_.end(), [now](const auto& removal) { return removal.first > now; });
    for (auto removal = completed_.begin(); removal != firstKept; ++removal)
        removed_.erase(removal->second);
    completed_.erase(completed_.begin(), firstKept);
}

}
