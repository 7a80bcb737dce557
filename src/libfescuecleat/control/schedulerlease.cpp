#include "control/schedulerlease.h"

#include "control/clockdrift.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace fescuecleat {

SchedulerLease::SchedulerLease(InstanceId self, DataCentreId dataCentre, const ControlTiming& timing)
    : self_(std::move(self))
    , dataCentre_(std::move(dataCentre))
    , timing_(timing)
{
}

bool SchedulerLease::canAcquireAt(Time now) const
{
    if (!hasObservedRows_)
        return false;
    const bool isVacant = observedRows_.leaseVersion_ == 0 || observedRows_.lease_.holder_.isEmpty();
    return isVacant || now >= unchangedSince_ + localWaitCovering(timing_.leaseDuration_);
}

LeaseStep SchedulerLease::next(Time now, const std::string& acquisitionId)
{
    if (epoch_ != 0 && now >= nextRenewal_) {
        nextRenewal_ = now + timing_.renewalInterval_;
        return RenewLease { ownRecord_, leaseVersion_ };
    }
    if (now >= nextRead_) {
        nextRead_ = now + timing_.pollInterval_;
        return ReadControlRows {};
    }
    if (epoch_ != 0)
        return WaitForLease { std::min(nextRead_, nextRenewal_) };
    if (!hasObservedRows_)
        return WaitForLease { nextRead_ };
    if (!canAcquireAt(now))
        return WaitForLease { std::min(nextRead_, unchangedSince_ + localWaitCovering(timing_.leaseDuration_)) };
    LeaseRecord record { self_, observedRows_.lease_.epoch_ + 1, acquisitionId };
    pendingAcquisition_ = PendingAcquisition { record, now };
    return AcquireLease { std::move(record), observedRows_.leaseVersion_, observedRows_.heartbeatVersion_ };
}

void SchedulerLease::observed(const ControlRows& rows, Time receivedAt)
{
    if (hasObservedRows_ && (rows.leaseVersion_ < observedRows_.leaseVersion_ || rows.heartbeatVersion_ < observedRows_.heartbeatVersion_))
        return;
    const bool isUnchanged = hasObservedRows_ && rows.leaseVersion_ == observedRows_.leaseVersion_ && rows.heartbeatVersion_ == observedRows_.heartbeatVersion_;
    if (!isUnchanged)
        unchangedSince_ = receivedAt;
    observedRows_ = rows;
    hasObservedRows_ = true;
    if (pendingAcquisition_ && rows.lease_ == pendingAcquisition_->record_)
        acquired(rows.leaseVersion_);
    else if (epoch_ != 0 && rows.leaseVersion_ > leaseVersion_)
        clearEpoch();
}

void SchedulerLease::acquired(std::uint64_t revision)
{
    if (!pendingAcquisition_)
        return;
    ownRecord_ = pendingAcquisition_->record_;
    epoch_ = ownRecord_.epoch_;
    leaseVersion_ = revision;
    validUntil_ = pendingAcquisition_->sentAt_ + timing_.leaseDuration_;
    nextRenewal_ = pendingAcquisition_->sentAt_ + timing_.renewalInterval_;
    pendingAcquisition_.reset();
}

void SchedulerLease::renewed(Time sentAt)
{
    if (epoch_ != 0)
        validUntil_ = std::max(validUntil_, sentAt + timing_.leaseDuration_);
}

void SchedulerLease::refused()
{
    pendingAcquisition_.reset();
    clearEpoch();
    hasObservedRows_ = false;
    nextRead_ = Time::min();
}

void SchedulerLease::failed(Time now)
{
    nextRead_ = now + timing_.pollInterval_ / 2;
    // The next read shows, by the acquisition id, whether an acquisition with unknown outcome took effect.
    if (pendingAcquisition_)
        hasObservedRows_ = false;
}

void SchedulerLease::handedOver()
{
    pendingAcquisition_.reset();
    clearEpoch();
}

void SchedulerLease::clearEpoch()
{
    epoch_ = 0;
    leaseVersion_ = 0;
    ownRecord_ = {};
}

std::string SchedulerLease::stateText() const
{
    std::ostringstream text;
    const auto micros = [](Time time) { return time.time_since_epoch().count(); };
    text << "epoch " << epoch_ << " version " << leaseVersion_ << " valid until " << (epoch_ == 0 ? 0 : micros(validUntil_))
         << " next renewal " << (epoch_ == 0 ? 0 : micros(nextRenewal_)) << " next read " << micros(nextRead_);
    if (hasObservedRows_)
        text << " seen " << observedRows_.leaseVersion_ << ' ' << observedRows_.heartbeatVersion_ << ' ' << observedRows_.lease_.holder_ << ' ' << observedRows_.lease_.epoch_ << " at " << micros(unchangedSince_);
    if (pendingAcquisition_)
        text << " claim " << pendingAcquisition_->record_.acquisitionId_ << ' ' << pendingAcquisition_->record_.epoch_ << " sent " << micros(pendingAcquisition_->sentAt_);
    return text.str();
}

LeaseFence SchedulerLease::fence() const
{
    return { dataCentre_, epoch_, leaseVersion_ };
}

}
