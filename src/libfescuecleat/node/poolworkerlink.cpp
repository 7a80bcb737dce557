#include "node/poolworkerlink.h"

#include "base/overloaded.h"
#include "node/nodeclock.h"

namespace fescuecleat {

namespace {

    /** What a look may take beyond its wait. */
    constexpr Duration lookSlack = std::chrono::milliseconds(600);
    constexpr Duration lookRetryDelay = std::chrono::milliseconds(300);
    /** While ends wait to be stored, leases are still prolonged this often. */
    constexpr Duration lookWhileStoring = std::chrono::milliseconds(1000);
    constexpr Duration orderTimeLimit = std::chrono::milliseconds(500);
    constexpr Duration orderRetryDelay = std::chrono::milliseconds(150);
    constexpr std::size_t maxOrdersInFlight = 4;
    /** The part of the longest lease that is asked for. */
    constexpr double leaseShare = 1.0;
    /** Added to the end of a lease before it counts as lapsed. */
    constexpr Duration lapseSlack = std::chrono::milliseconds(200);

}

PoolWorkerLink::PoolWorkerLink(boost::asio::io_context& context, PoolWorkerClient& client, WorkerInfo info, Terms terms, Listener listener)
    : client_(client)
    , info_(std::move(info))
    , terms_(terms)
    , listener_(std::move(listener))
    , holdTimer_(context)
    , orderTimer_(context)
    , lapseAt_(terms.formerLeasesLapse_)
{
}

void PoolWorkerLink::update(const WorkerInfo& info)
{
    const WorkerKey key = info_.key_;
    info_ = info;
    info_.key_ = key;
}

std::int64_t PoolWorkerLink::leaseEnd()
{
    // A worker that doesn't answer may still take orders: prolonging its lease would put off the moment when it has certainly lapsed.
    if (!isReachable_ && grantedUntilMs_ > 0)
        return grantedUntilMs_;
    const auto grant = std::chrono::duration_cast<Duration>(terms_.maxLease_ * leaseShare);
    const std::int64_t end = clockMs_ + wholeMilliseconds(bootTimeNow() - clockAt_) + wholeMilliseconds(grant);
    const auto left = std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(end - clockMs_) / (1 - workerClockDrift)));
    lapseAt_ = std::max<Time>(lapseAt_, clockAt_ + left + lapseSlack);
    grantedUntilMs_ = std::max(grantedUntilMs_, end);
    return end;
}

void PoolWorkerLink::hold(bool isPatient)
{
    if (isHolding_)
        return;
    if (info_.endpoint_.port_ == 0)
        return holdFailed(WorkerFailure::NotSent); // known from a record only; the registry doesn't list it
    isHolding_ = true;
    holdTimer_.cancel();
    HoldOrder order;
    order.fence_ = terms_.fence_;
    order.seenEnds_ = storedEnds_;
    order.wait_ = isPatient ? terms_.lookWait_ : Duration::zero();
    if (isClockKnown_)
        order.leaseUntilMs_ = leaseEnd();
    const Time askedAt = bootTimeNow();
    client_.hold(info_, order, order.wait_ + lookSlack, lifetime_.guard([this, askedAt](const tl::expected<PoolWorkerReport, WorkerFailure>& report) {
        isHolding_ = false;
        if (report)
            holdAnswered(*report, askedAt);
        else
            holdFailed(report.error());
    }));
}

void PoolWorkerLink::holdAnswered(const PoolWorkerReport& report, Time askedAt)
{
    if (report.bornUnixMs_ != 0 && report.bornUnixMs_ != info_.key_.bornUnixMs_) {
        const WorkerKey former = info_.key_;
        info_.key_.bornUnixMs_ = report.bornUnixMs_;
        storedEnds_ = 0;
        reportedEnds_ = 0;
        grantedUntilMs_ = 0;
        listener_.reborn_(former, info_.key_);
    }
    const bool wasClockKnown = isClockKnown_;
    isClockKnown_ = true;
    clockMs_ = report.clockMs_;
    clockAt_ = bootTimeNow();
    isLapsed_ = false;
    setReachable(true, "answered");
    for (const ReportedEnd& end : report.ended_)
        reportedEnds_ = std::max(reportedEnds_, end.sequence_);
    auto next = lifetime_.guard([this, wasClockKnown] {
        if (isHolding_)
            return;
        if (!wasClockKnown)
            return hold(false);
        if (reportedEnds_ <= storedEnds_)
            return hold(true);
        holdTimer_.start(lookWhileStoring, [this] { hold(false); });
    });
    listener_.reported_(report, askedAt);
    next();
    sendOrders();
}

void PoolWorkerLink::endsStored(std::int64_t sequence)
{
    storedEnds_ = std::max(storedEnds_, std::min(sequence, reportedEnds_));
    if (reportedEnds_ <= storedEnds_)
        hold(true);
}

void PoolWorkerLink::holdFailed(WorkerFailure failure)
{
    if (failure == WorkerFailure::FenceIsOld)
        return listener_.superseded_("worker " + info_.key_.id_ + " has seen a higher fence");
    setReachable(false, workerFailureName(failure));
    checkLapse();
    holdTimer_.start(lookRetryDelay, [this] { hold(false); });
}

void PoolWorkerLink::checkLapse()
{
    if (isLapsed_ || bootTimeNow() < lapseAt_)
        return;
    isLapsed_ = true;
    listener_.lapsed_();
}

void PoolWorkerLink::setReachable(bool isReachable, const char* cause)
{
    if (isReachable_ == isReachable)
        return;
    isReachable_ = isReachable;
    listener_.reachabilityChanged_(isReachable, cause);
}

void PoolWorkerLink::start(StartOrder order)
{
    order.fence_ = terms_.fence_;
    orders_.emplace_back(std::move(order));
    sendOrders();
}

void PoolWorkerLink::stop(const RunId& run)
{
    orders_.emplace_front(StopOrder { run, terms_.fence_ });
    sendOrders();
}

void PoolWorkerLink::sendOrders()
{
    while (!orders_.empty() && ordersInFlight_ < maxOrdersInFlight) {
        Order order = std::move(orders_.front());
        orders_.pop_front();
        std::visit(Overloaded {
                       [this](StartOrder& start) { send(std::move(start)); },
                       [this](StopOrder& stop) { send(stop); },
                   },
            order);
    }
}

void PoolWorkerLink::send(StartOrder order)
{
    if (!isClockKnown_ || !listener_.isStartWanted_(order.run_))
        return;
    order.leaseUntilMs_ = leaseEnd();
    ++ordersInFlight_;
    client_.start(info_, order, orderTimeLimit, lifetime_.guard([this, order](const tl::expected<StartAnswer, WorkerFailure>& answer) {
        --ordersInFlight_;
        if (answer)
            listener_.startAnswered_(order.run_, *answer);
        else if (answer.error() == WorkerFailure::FenceIsOld)
            return listener_.superseded_("worker " + info_.key_.id_ + " has seen a higher fence");
        else
            retry(order);
        sendOrders();
    }));
}

void PoolWorkerLink::send(const StopOrder& order)
{
    if (!listener_.isStopWanted_(order.run_))
        return;
    ++ordersInFlight_;
    client_.stop(info_, order, orderTimeLimit, lifetime_.guard([this, order](const tl::expected<void, WorkerFailure>& answer) {
        --ordersInFlight_;
        if (answer)
            listener_.stopConfirmed_(order.run_);
        else if (answer.error() == WorkerFailure::FenceIsOld)
            return listener_.superseded_("worker " + info_.key_.id_ + " has seen a higher fence");
        else
            retry(order);
        sendOrders();
    }));
}

void PoolWorkerLink::retry(Order order)
{
    delayed_.push_back(std::move(order));
    orderTimer_.start(orderRetryDelay, [this] {
        for (Order& delayed : std::exchange(delayed_, {}))
            orders_.push_back(std::move(delayed));
        sendOrders();
    });
}

}
