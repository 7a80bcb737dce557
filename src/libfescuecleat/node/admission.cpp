#include "node/admission.h"

#include "pool/remainingwork.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace fescuecleat {

namespace {

    /** Lower bound of the real work as a share of the estimate: estimates are off by half. */
    constexpr double minWorkShare = 0.5;
    /** Retry times are spread over this share more of the time until the backlog has drained. */
    constexpr double retrySpread = 0.5;
    /** Upper bound of a retry time; the backlog is hard to foresee for longer. */
    constexpr double maxRetrySeconds = 60;

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
    double fromMs(std::int64_t ms) { return static_cast<double>(ms) / 1000; }

    /** A number from 0 to 1 that depends on the id only (FNV-1a). */
    double spreadOf(const std::string& id)
    {
        std::uint32_t hash = 2166136261U;
        for (const char c : id)
            hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
        return static_cast<double>(hash % 1024) / 1024;
    }

    /** The bounds of a submitted job, in seconds from the time of the backlog. */
    struct Bounds {
        double shortestSeconds_ = 0;
        double latestStart_ = 0;
        double expiry_ = 0;
    };

    /** Seconds after which the work ahead of the job is done, if a second of the pool does `rate` and the real work is `workShare` of the estimate. */
    class WorkAhead {
    public:
        WorkAhead(const AdmissionRequest& request, const Bounds& bounds, const Backlog& backlog, double rate, double workShare)
            : factor_(workShare / rate)
        {
            const int priority = request.policy_->priority_;
            for (const auto& [of, work] : backlog.runningWork_) {
                // Urgent jobs may stop runs of others.
                if (priority > 0 || of == 0)
                    first_ += work * factor_;
            }
            for (const auto& [queue, organisations] : backlog.waiting_) {
                for (const auto& [organisation, entries] : organisations) {
                    for (const BacklogEntry& entry : entries) {
                        if (entry.priority_ < priority)
                            first_ += entry.work_ * factor_;
                        else if (entry.priority_ == priority && fromMs(entry.latestStartMs_) <= bounds.latestStart_)
                            earlier_.push_back(&entry);
                    }
                }
            }
            std::stable_sort(earlier_.begin(), earlier_.end(), [](const BacklogEntry* left, const BacklogEntry* right) { return left->latestStartMs_ < right->latestStartMs_; });
        }

        /** As long as the job can be in time, those are ahead that come first, and those in time until their latest start. */
        double secondsBeforeJobsInTime() const
        {
            double at = first_;
            for (const BacklogEntry* entry : earlier_) {
                if (entry->place_ == BacklogPlace::Behind)
                    continue;
                // The latest start is rounded up to a second.
                const double until = entry->place_ == BacklogPlace::First ? fromMs(entry->expiryMs_) : fromMs(entry->latestStartMs_ - 1000);
                at = std::min(at + entry->work_ * factor_, std::max(at, until));
            }
            return at;
        }

        /** After that, those are ahead whose credit has not expired. */
        double secondsBeforeLateJobs() const
        {
            double at = first_;
            for (const BacklogEntry* entry : earlier_)
                at = std::min(at + entry->work_ * factor_, std::max(at, fromMs(entry->expiryMs_)));
            return at;
        }

    private:
        double factor_;
        double first_ = 0;
        std::vector<const BacklogEntry*> earlier_;
    };

    bool isWithinGuarantee(const AdmissionRequest& request, const Job& job, const Backlog& backlog)
    {
        if (request.policy_->priority_ > 0)
            return false;
        const auto used = backlog.urgentAccelerators_.find(request.policy_->organisation_);
        return (used == backlog.urgentAccelerators_.end() ? 0 : used->second) + job.peakAccelerators() <= request.guaranteedAccelerators_;
    }

}

std::optional<AdmissionRefusal> refuseHopeless(const AdmissionRequest& request, const Backlog& backlog, Duration age)
{
    Job job;
    job.spec_.steps_ = request.spec_->steps_;
    job.spec_.occurrences_ = request.spec_->occurrences_;
    job.policy_ = *request.policy_;
    job.computeTargets();
    if (!job.hasTarget() || job.spec_.steps_.empty() || isWithinGuarantee(request, job, backlog))
        return std::nullopt;
    const double ageSeconds = seconds(age);
    Duration longest {};
    for (const StepSpec& step : job.spec_.steps_)
        longest = std::max(longest, step.estimate_);
    Bounds bounds;
    bounds.shortestSeconds_ = seconds(job.criticalPath()) * minWorkShare;
    bounds.latestStart_ = ageSeconds + seconds(job.targetCompletion_ - job.submittedAt_ - longest);
    bounds.expiry_ = ageSeconds + seconds(job.creditExpiry_ - job.submittedAt_);

    const WorkAhead least(request, bounds, backlog, std::max(1.0, backlog.bestRate_), minWorkShare);
    // What was done since the backlog was measured is part of these bounds, as they begin at its time.
    const double endsAt = std::max(ageSeconds, least.secondsBeforeLateJobs()) + bounds.shortestSeconds_;
    if (least.secondsBeforeJobsInTime() <= bounds.latestStart_ || endsAt <= bounds.expiry_)
        return std::nullopt;

    AdmissionRefusal refusal;
    refusal.endsInSeconds_ = endsAt - ageSeconds;
    refusal.expiresInSeconds_ = bounds.expiry_ - ageSeconds;
    // By the estimates, the job could end in time for its credit when so much of the backlog has drained. A larger job needs
    // more of the pool at once, and one of lower priority lets more others pass, so they come back later.
    const WorkAhead expected(request, bounds, backlog, std::clamp(backlog.rate_, 0.5, std::max(1.0, backlog.bestRate_)), 1);
    const double drained = std::max(endsAt, expected.secondsBeforeLateJobs() + seconds(job.criticalPath())) - bounds.expiry_;
    const double own = PoolShare(backlog.pool_).wholeWork(job.spec_);
    const double base = std::min(drained + own + job.policy_.priority_, maxRetrySeconds);
    refusal.retryAfterSeconds_ = std::max<std::int64_t>(1, std::llround(base * (1 + retrySpread * spreadOf(request.id_))));
    return refusal;
}

}
