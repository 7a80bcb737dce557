#include "node/poolworkerlink.h"

#include "base/bootclock.h"
#include "base/overloaded.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Added to the poll wait to get the timeout of a poll. */
    constexpr Duration pollTimeoutMargin = std::chrono::milliseconds(600);
    constexpr Duration pollRetryDelay = std::chrono::milliseconds(300);
    /** Interval of lease renewals while reported ends are being stored. */
    constexpr Duration storingPollInterval = std::chrono::milliseconds(1000);
    constexpr Duration requestRetryDelay = std::chrono::milliseconds(150);
    constexpr std::size_t maxRequestsInFlight = 4;
    /** Added to the leases granted by requests of earlier schedulers, links or incarnations, which may still be in flight. */
    constexpr Duration earlierLeaseMargin = std::chrono::milliseconds(500);
    /** Added to the end of a lease before it counts as expired. */
    constexpr Duration leaseExpiryMargin = std::chrono::milliseconds(200);

}

PoolWorkerLink::PoolWorkerLink(boost::asio::io_context& context, PoolWorkerClient& client, WorkerInfo info, Parameters parameters, Listener listener)
    : client_(client)
    , info_(std::move(info))
    , parameters_(parameters)
    , listener_(std::move(listener))
    , pollTimer_(context)
    , retryTimer_(context)
    , leasesExpireAt_(parameters.earlierLeasesExpireAt_)
{
}

Time PoolWorkerLink::latestLeaseExpiry(Duration maxLease, Time lastSentAt)
{
    return lastSentAt + std::chrono::duration_cast<Duration>(maxLease / (1 - maxWorkerClockDriftRatio)) + earlierLeaseMargin;
}

void PoolWorkerLink::update(const WorkerInfo& info)
{
    const WorkerKey key = info_.key_;
    info_ = info;
    info_.key_ = key;
}

std::int64_t PoolWorkerLink::extendLease()
{
    // A worker that doesn't answer may still receive requests: extending its lease
    // would delay the time when its runs have certainly expired.
    if (!isReachable_ && grantedUntilMs_ > 0)
        return grantedUntilMs_;
    // A draining worker may leave without a word, and its runs are lost only when its lease has expired.
    // Its lease outlasts one unanswered poll.
    const Duration drainingLease = 2 * (parameters_.pollWait_ + pollTimeoutMargin);
    const Duration grant = info_.isDraining_ ? std::min(parameters_.maxLease_, drainingLease) : parameters_.maxLease_;
    const std::int64_t end = clockMs_ + wholeMilliseconds(bootTimeNow() - clockReadAt_) + wholeMilliseconds(grant);
    const auto left = std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(end - clockMs_) / (1 - maxWorkerClockDriftRatio)));
    leasesExpireAt_ = std::max<Time>(leasesExpireAt_, clockReadAt_ + left + leaseExpiryMargin);
    grantedUntilMs_ = std::max(grantedUntilMs_, end);
    return end;
}

void PoolWorkerLink::poll(bool waitsForEnd)
{
    if (isPolling_)
        return;
    if (info_.endpoint_.port_ == 0)
        return handlePollFailure(WorkerFailure::NotSent, clockReadAt_); // known only from a job record; the registry doesn't list it
    isPolling_ = true;
    pollTimer_.cancel();
    PollRequest request;
    request.epoch_ = parameters_.epoch_;
    request.wait_ = waitsForEnd ? parameters_.pollWait_ : Duration::zero();
    // A worker that was silent may have restarted: neither the expiry nor the sequence number
    // is valid for its next incarnation, which would grant a lease and forget ends by them.
    if (isReachable_) {
        // The next holder counts the leases on a worker that it can't reach from the end of this one.
        if (listener_.isLeaseHeld_())
            request.leaseUntilMs_ = extendLease();
        request.acknowledgedEnds_ = listsEnds_ ? lastStoredEnd_ : 0;
    }
    const Time askedAt = bootTimeNow();
    const Duration timeout = request.wait_ + pollTimeoutMargin;
    client_.poll(info_, request, timeout, lifetime_.guard([this, askedAt, timeout](const tl::expected<PoolWorkerReport, WorkerFailure>& report) {
        isPolling_ = false;
        if (report)
            return handlePollAnswer(*report, askedAt);
        // The end of the worker's process breaks the connection at once; nothing shows when a poll that timed out was lost.
        const Time now = bootTimeNow();
        const bool isBroken = report.error() == WorkerFailure::NoAnswer && now < askedAt + timeout;
        handlePollFailure(report.error(), isBroken ? now : clockReadAt_);
    }));
}

void PoolWorkerLink::handlePollAnswer(const PoolWorkerReport& report, Time askedAt)
{
    if (report.startedUnixMs_ != 0 && report.startedUnixMs_ != info_.key_.startedUnixMs_) {
        const WorkerKey former = info_.key_;
        info_.key_.startedUnixMs_ = report.startedUnixMs_;
        lastStoredEnd_ = 0;
        lastReportedEnd_ = 0;
        grantedUntilMs_ = 0;
        // Expiries by the former incarnation's clock make the next one grant its longest lease,
        // also by a request that it executes late.
        leasesExpireAt_ = std::max(leasesExpireAt_, latestLeaseExpiry(parameters_.maxLease_, bootTimeNow() + parameters_.maxRequestDelay_));
        listener_.restarted_(former, info_.key_);
    }
    const bool wasClockKnown = isClockKnown_;
    isClockKnown_ = true;
    clockMs_ = report.clockMs_;
    clockReadAt_ = bootTimeNow();
    if (!std::exchange(isReachable_, true))
        listener_.answersAgain_();
    listsEnds_ = !report.ended_.empty();
    for (const ReportedEnd& end : report.ended_)
        lastReportedEnd_ = std::max(lastReportedEnd_, end.sequence_);
    auto next = lifetime_.guard([this, wasClockKnown] {
        if (isPolling_)
            return;
        if (!wasClockKnown)
            return poll(false);
        if (lastReportedEnd_ <= lastStoredEnd_)
            return poll(true);
        pollTimer_.start(storingPollInterval, [this] { poll(false); });
    });
    listener_.reported_(report, askedAt);
    next();
    sendRequests();
}

void PoolWorkerLink::acknowledgeEnds(std::int64_t sequence)
{
    lastStoredEnd_ = std::max(lastStoredEnd_, std::min(sequence, lastReportedEnd_));
    if (lastReportedEnd_ <= lastStoredEnd_)
        poll(true);
}

void PoolWorkerLink::handlePollFailure(WorkerFailure failure, Time upUntil)
{
    if (failure == WorkerFailure::StaleEpoch)
        listener_.epochRefused_();
    if (std::exchange(isReachable_, false))
        listener_.fellSilent_(upUntil, workerFailureName(failure));
    checkLeaseExpiry();
    pollTimer_.start(pollRetryDelay, [this] { poll(false); });
}

void PoolWorkerLink::checkLeaseExpiry()
{
    if (bootTimeNow() < leasesExpireAt_)
        return;
    LeaseExpiry expiry { leasesExpireAt_, grantedUntilMs_ > 0, std::nullopt };
    if (isClockKnown_)
        expiry.lastAnswerAt_ = clockReadAt_;
    listener_.leasesExpired_(expiry);
}

void PoolWorkerLink::start(StartRequest request)
{
    request.epoch_ = parameters_.epoch_;
    requests_.emplace_back(std::move(request));
    sendRequests();
}

void PoolWorkerLink::stop(const RunId& run)
{
    requests_.emplace_front(StopRequest { run, parameters_.epoch_ });
    sendRequests();
}

void PoolWorkerLink::sendRequests()
{
    while (!requests_.empty() && requestsInFlight_ < maxRequestsInFlight) {
        Request request = std::move(requests_.front());
        requests_.pop_front();
        std::visit(Overloaded {
                       [this](StartRequest& start) { send(std::move(start)); },
                       [this](StopRequest& stop) { send(stop); },
                   },
            request);
    }
}

void PoolWorkerLink::send(StartRequest request)
{
    if (!isClockKnown_)
        return;
    if (!listener_.isStartWanted_(request.run_)) {
        // The registry may describe the worker's next incarnation in time.
        if (listener_.isStartPending_(request.run_))
            retry(std::move(request));
        return;
    }
    request.leaseUntilMs_ = extendLease();
    listener_.startSent_(request.run_);
    ++requestsInFlight_;
    client_.start(info_, request, requestTimeout, lifetime_.guard([this, request, key = info_.key_](const tl::expected<StartAnswer, WorkerFailure>& answer) {
        --requestsInFlight_;
        // What a former incarnation answered says nothing about this one.
        const bool isCurrent = key == info_.key_;
        const bool isRefused = !answer && answer.error() == WorkerFailure::StaleEpoch;
        if (answer && isCurrent) {
            listener_.startAnswered_(request.run_, *answer);
        } else {
            if (isRefused)
                listener_.epochRefused_();
            else if (answer || answer.error() != WorkerFailure::NotSent)
                listener_.startUnanswered_(request.run_);
            retry(request);
        }
        sendRequests();
    }));
}

void PoolWorkerLink::send(const StopRequest& request)
{
    if (!listener_.isStopWanted_(request.run_))
        return;
    ++requestsInFlight_;
    client_.stop(info_, request, requestTimeout, lifetime_.guard([this, request, key = info_.key_](const tl::expected<void, WorkerFailure>& answer) {
        --requestsInFlight_;
        if (!answer && answer.error() == WorkerFailure::StaleEpoch)
            listener_.epochRefused_();
        if (answer && key == info_.key_)
            listener_.stopConfirmed_(request.run_);
        else
            retry(request);
        sendRequests();
    }));
}

void PoolWorkerLink::retry(Request request)
{
    requestsToRetry_.push_back(std::move(request));
    if (requestsToRetry_.size() > 1)
        return; // the timer runs
    retryTimer_.start(requestRetryDelay, [this] {
        for (Request& pending : std::exchange(requestsToRetry_, {}))
            requests_.push_back(std::move(pending));
        sendRequests();
    });
}

}
