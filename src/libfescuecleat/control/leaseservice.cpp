#include "control/leaseservice.h"

#include "base/overloaded.h"
#include "state/rowkeys.h"

#include <algorithm>
#include <thread>

namespace fescuecleat {

LeaseService::LeaseService(Table& table, WriteIds& writeIds, const InstanceId& self, const DataCentreId& dataCentre, const ControlTiming& timing)
    : table_(table)
    , writeIds_(writeIds)
    , dataCentre_(dataCentre)
    , timing_(timing)
    , lease_(self, dataCentre, timing)
    , permit_(timing.startPermitDuration_)
{
}

Time LeaseService::step()
{
    const Time now = monotonicNow();
    const std::string acquisitionId = writeIds_.next();
    LeaseStep step;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (isHandedOver_)
            return now + timing_.pollInterval_;
        step = lease_.next(now, acquisitionId);
    }
    Time due = now;
    std::visit(Overloaded {
                   [&](const WaitForLease& wait) { due = wait.until_; },
                   [&](const ReadControlRows&) { read(now); },
                   [&](const AcquireLease& acquisition) { acquire(acquisition, acquisitionId, now); },
                   [&](const RenewLease& renewal) { renew(renewal, now); },
               },
        step);
    return due;
}

void LeaseService::read(Time now)
{
    const Result<RowScan> scan = table_.scan(rowkeys::control(dataCentre_), now + timing_.renewalInterval_);
    const Time receivedAt = monotonicNow();
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++counts_.reads_;
        const Result<ControlRows> rows = scan ? parseControlRows(scan->rows_, dataCentre_) : tl::unexpected<Error>(scan.error());
        if (!rows) {
            ++counts_.failures_;
            lease_.failed(receivedAt);
            return;
        }
        const bool hadEpoch = lease_.fence().epoch_ != 0;
        lease_.observed(*rows, receivedAt);
        counts_.losses_ += hadEpoch && lease_.fence().epoch_ == 0 ? 1 : 0;
        permit_.confirmed(now, rows->serviceVersion_, rows->service_.isInService_);
        if (rows->serviceVersion_ >= rows_.serviceVersion_)
            rows_ = *rows;
        lastReadSentAt_ = std::max(lastReadSentAt_, now);
    }
    acknowledge(receivedAt);
}

void LeaseService::acquire(const AcquireLease& acquisition, const std::string& acquisitionId, Time now)
{
    Transaction transaction;
    transaction.writeId_ = acquisitionId;
    transaction.conditions_.push_back({ rowkeys::lease(dataCentre_), acquisition.leaseVersion_ });
    transaction.conditions_.push_back({ rowkeys::heartbeat(dataCentre_), acquisition.heartbeatVersion_ });
    transaction.writes_.push_back({ rowkeys::lease(dataCentre_), writeLeaseRecord(acquisition.record_) });
    transaction.writes_.push_back({ rowkeys::heartbeat(dataCentre_), writeHeartbeat(acquisition.record_) });
    recordOutcome(table_.commit(transaction, now + timing_.renewalInterval_), now, true);
}

void LeaseService::renew(const RenewLease& renewal, Time now)
{
    Transaction transaction;
    transaction.writeId_ = writeIds_.next();
    transaction.conditions_.push_back({ rowkeys::lease(dataCentre_), renewal.leaseVersion_ });
    transaction.writes_.push_back({ rowkeys::heartbeat(dataCentre_), writeHeartbeat(renewal.record_) });
    recordOutcome(table_.commit(transaction, now + timing_.renewalInterval_), now, false);
}

void LeaseService::recordOutcome(const Result<CommitOutcome>& outcome, Time sentAt, bool isAcquisition)
{
    const Time receivedAt = monotonicNow();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!outcome) {
        ++counts_.failures_;
        lease_.failed(receivedAt);
        return;
    }
    const auto* committed = std::get_if<Committed>(&*outcome);
    if (!committed) {
        counts_.losses_ += isAcquisition ? 0 : 1;
        lease_.refused();
    } else if (isAcquisition) {
        ++counts_.acquisitions_;
        lease_.acquired(committed->revision_);
    } else {
        ++counts_.renewals_;
        lease_.renewed(sentAt);
    }
}

void LeaseService::acknowledge(Time now)
{
    Transaction transaction;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const bool isDue = lease_.isHeldAt(now) && permit_.canAcknowledgeAt(now, startsInFlight(now));
        if (!isDue || rows_.acknowledgement_.serviceVersion_ >= permit_.serviceVersion())
            return;
        const ServiceAcknowledgement acknowledgement { permit_.serviceVersion(), lease_.fence().epoch_ };
        transaction.conditions_.push_back({ rowkeys::lease(dataCentre_), lease_.fence().rowVersion_ });
        transaction.writes_.push_back({ rowkeys::acknowledgement(dataCentre_), writeServiceAcknowledgement(acknowledgement) });
    }
    transaction.writeId_ = writeIds_.next();
    // After an unknown outcome the next read shows whether to write it again.
    const Result<CommitOutcome> outcome = table_.commit(transaction, now + timing_.renewalInterval_);
    const std::lock_guard<std::mutex> lock(mutex_);
    counts_.failures_ += outcome ? 0 : 1;
}

ControlStatus LeaseService::status(Time now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ControlStatus status;
    status.isHeld_ = lease_.isHeldAt(now) && !isHandedOver_;
    status.heldUntil_ = lease_.validUntil();
    status.fence_ = lease_.fence();
    status.startPermitUntil_ = permit_.expiresAt();
    status.newestLease_ = lease_.newestLease();
    status.service_ = rows_.service_;
    status.serviceVersion_ = rows_.serviceVersion_;
    status.lastReadSentAt_ = lastReadSentAt_;
    return status;
}

LeaseCounts LeaseService::counts() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return counts_;
}

std::optional<Time> LeaseService::beginStart(Time now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (isHandedOver_ || !lease_.isHeldAt(now) || !permit_.allowsAt(now))
        return std::nullopt;
    ++startsInFlight_;
    return std::min(lease_.validUntil(), permit_.expiresAt());
}

void LeaseService::endStart(Time mayTakeEffectUntil)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    --startsInFlight_;
    unansweredStartsUntil_ = std::max(unansweredStartsUntil_, mayTakeEffectUntil);
}

/**
 * Stops new starts and waits until those in flight have ended or can't take
 * effect any more. Returns false if the deadline passed before.
 */
bool LeaseService::waitForStarts(Time deadline)
{
    constexpr Duration pause = std::chrono::milliseconds(10);
    for (Time now = monotonicNow(); now < deadline; now = monotonicNow()) {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            isHandedOver_ = true;
            if (startsInFlight(now) == 0 || now >= permit_.latestExpiry())
                return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

Result<void> LeaseService::handOver(Time deadline)
{
    if (!waitForStarts(deadline))
        return failure(ErrorKind::DeadlineExceeded, "task starts were still in flight at the deadline, so the lease was not released and has to lapse", "allow more time for the shutdown");
    Transaction transaction;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const LeaseFence fence = lease_.fence();
        if (fence.epoch_ == 0)
            return {};
        transaction.conditions_.push_back({ rowkeys::lease(dataCentre_), fence.rowVersion_ });
        transaction.writes_.push_back({ rowkeys::lease(dataCentre_), writeLeaseRecord({ InstanceId(), fence.epoch_, {} }) });
        lease_.handedOver();
    }
    transaction.writeId_ = writeIds_.next();
    const Result<CommitOutcome> outcome = table_.commit(transaction, deadline);
    if (!outcome)
        return tl::unexpected<Error>(outcome.error());
    return {};
}

}
