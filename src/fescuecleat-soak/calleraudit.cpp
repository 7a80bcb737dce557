#include "calleraudit.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    constexpr std::size_t maxViolations = 1000;

    const char* nameOf(PoolJobState state)
    {
        switch (state) {
        case PoolJobState::Queued:
            return "queued";
        case PoolJobState::Running:
            return "running";
        case PoolJobState::Completed:
            return "completed";
        case PoolJobState::Failed:
            return "failed";
        case PoolJobState::Cancelled:
            return "cancelled";
        }
        return "";
    }

    const char* nameOf(CallerCallKind kind)
    {
        switch (kind) {
        case CallerCallKind::Submit:
            return "submission";
        case CallerCallKind::State:
            return "question for the state";
        case CallerCallKind::Cancel:
            return "cancellation";
        case CallerCallKind::Waiting:
            return "question for the waiting jobs";
        }
        return "";
    }

    /** Whether the interface has this status for the call. */
    bool isKnownStatus(const CallerAnswer& answer)
    {
        switch (answer.status()) {
        case 0:
        case 200:
        case 401:
        case 404:
        case 429:
        case 502:
        case 503:
        case 504:
            return true;
        case 410:
            return answer.kind_ == CallerCallKind::State || answer.kind_ == CallerCallKind::Cancel;
        default:
            return false;
        }
    }

    std::string after(Time from, Time to)
    {
        return std::to_string(wholeMilliseconds(to - from)) + " ms after ";
    }

}

CallerAudit::CallerAudit(Limits limits)
    : limits_(limits)
{
}

void CallerAudit::keyWithdrawn(const std::string& key, Time confirmedAt)
{
    refusedFrom_.emplace(key, confirmedAt + limits_.revocation_);
}

void CallerAudit::keyRestored(const std::string& key)
{
    refusedFrom_.erase(key);
}

void CallerAudit::queueLeaves(const std::string& name)
{
    queues_.erase(name);
}

void CallerAudit::configurationConfirmed(const std::vector<CallerQueue>& queues, Time confirmedAt)
{
    std::map<std::string, KnownQueue> known;
    for (const CallerQueue& queue : queues) {
        const auto before = queues_.find(queue.name_);
        if (before != queues_.end() && before->second.host_ == queue.host_ && before->second.prefix_ == queue.prefix_)
            known.insert(*before);
        else
            known.insert({ queue.name_, { queue.host_, queue.prefix_, confirmedAt + limits_.configuration_ } });
    }
    queues_ = std::move(known);
}

void CallerAudit::check(const CallerJob& job, const CallerAnswer& answer)
{
    check(answer);
    if (answer.status() == 410 && job.acceptedAt() && !job.isCancelSent() && answer.endedAt_ > *job.acceptedAt() + limits_.acceptance_)
        report("LOST job " + job.id() + " is unknown " + after(*job.acceptedAt(), answer.endedAt_) + "its acceptance");
    if (const auto* const shown = std::get_if<StateAnswer>(&answer.content_))
        checkState(job, answer, shown->state_);
}

void CallerAudit::check(const CallerAnswer& answer)
{
    const std::string call = std::string("the ") + nameOf(answer.kind_) + " to " + answer.queue_.name_;
    if (const auto* const malformed = std::get_if<MalformedAnswer>(&answer.content_))
        report("MIXED " + call + " has a malformed answer with status " + std::to_string(malformed->status_) + ": " + malformed->cause_);
    else if (!isKnownStatus(answer))
        report("MIXED " + call + " was answered with status " + std::to_string(answer.status()));

    const auto key = refusedFrom_.find(answer.queue_.key_);
    if (key != refusedFrom_.end() && !answer.queue_.isPublic_ && answer.isSuccess() && answer.sentAt_ > key->second)
        report("KEY " + call + " was accepted with the withdrawn key " + key->first + ", sent " + after(key->second, answer.sentAt_) + "the limit");

    const auto queue = queues_.find(answer.queue_.name_);
    if (answer.status() != 404 || queue == queues_.end())
        return;
    // The address of a queue that has moved may be unknown.
    const bool isSameAddress = queue->second.host_ == answer.queue_.host_ && queue->second.prefix_ == answer.queue_.prefix_;
    // An instance may have decided on the answer as soon as the call was sent.
    if (isSameAddress && answer.sentAt_ > queue->second.effectiveAt_)
        report("CONFIG " + call + " found no queue, sent " + after(queue->second.effectiveAt_, answer.sentAt_) + "the limit");
}

std::vector<std::string> CallerAudit::withdrawnKeys() const
{
    std::vector<std::string> keys;
    for (const auto& entry : refusedFrom_)
        keys.push_back(entry.first);
    return keys;
}

void CallerAudit::checkState(const CallerJob& job, const CallerAnswer& answer, PoolJobState state)
{
    const std::string shown = "job " + job.id() + " is shown as " + nameOf(state);
    if (job.completedAt() && answer.sentAt_ >= *job.completedAt() && state != PoolJobState::Completed)
        return report("MIXED " + shown + " after it had completed");
    if (state == PoolJobState::Cancelled && !job.isCancelSent())
        return report("MIXED " + shown + " and nobody cancelled it");
    if (state == PoolJobState::Failed && job.acceptedAt() && !job.isDeadly())
        report("LOST " + shown + " without a cause");
}

void CallerAudit::report(const std::string& violation)
{
    if (violations_.size() < maxViolations)
        violations_.push_back(violation);
}

}
