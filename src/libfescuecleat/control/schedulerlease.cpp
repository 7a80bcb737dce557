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
    if (!hasSeen_)
        return false;
    const bool isVacant = seen_.leaseVersion_ == 0 || seen_.lease_.holder_.isEmpty();
    return isVacant || now >= firstSeen_ + waitToCover(timing_.lease_);
}

LeaseStep SchedulerLease::next(Time now, const std::string& claim)
{
    if (epoch_ != 0 && now >= nextRenewal_) {
        nextRenewal_ = now + timing_.renewal_;
        return RenewLease { own_, leaseVersion_ };
    }
    if (now >= nextRead_) {
        nextRead_ = now + timing_.poll_;
        return ReadControlRows {};
    }
    if (epoch_ != 0)
        return WaitForLease { std::min(nextRead_, nextRenewal_) };
    if (!hasSeen_)
        return WaitForLease { nextRead_ };
    if (!canAcquireAt(now))
        return WaitForLease { std::min(nextRead_, firstSeen_ + waitToCover(timing_.lease_)) };
    LeaseRecord record { self_, seen_.lease_.epoch_ + 1, claim };
    acquisition_ = PendingAcquisition { record, now };
    return AcquireLease { std::move(record), seen_.leaseVersion_, seen_.heartbeatVersion_ };
}

void SchedulerLease::observed(const ControlRows& rows, Time receivedAt)
{
    if (hasSeen_ && (rows.leaseVersion_ < seen_.leaseVersion_ || rows.heartbeatVersion_ < seen_.heartbeatVersion_))
        return;
    const bool isSame = hasSeen_ && rows.leaseVersion_ == seen_.leaseVersion_ && rows.heartbeatVersion_ == seen_.heartbeatVersion_;
    if (!isSame)
        firstSeen_ = receivedAt;
    seen_ = rows;
    hasSeen_ = true;
    if (acquisition_ && rows.lease_ == acquisition_->record_)
        acquired(rows.leaseVersion_);
    else if (epoch_ != 0 && rows.leaseVersion_ > leaseVersion_)
        forgetEpoch();
}

void SchedulerLease::acquired(std::uint64_t revision)
{
    if (!acquisition_)
        return;
    own_ = acquisition_->record_;
    epoch_ = own_.epoch_;
    leaseVersion_ = revision;
    validUntil_ = acquisition_->sentAt_ + timing_.lease_;
    nextRenewal_ = acquisition_->sentAt_ + timing_.renewal_;
    acquisition_.reset();
}

void SchedulerLease::renewed(Time sentAt)
{
    if (epoch_ != 0)
        validUntil_ = std::max(validUntil_, sentAt + timing_.lease_);
}

void SchedulerLease::refused()
{
    acquisition_.reset();
    forgetEpoch();
    hasSeen_ = false;
    nextRead_ = Time::min();
}

void SchedulerLease::failed(Time now)
{
    nextRead_ = now + timing_.poll_ / 2;
    // An acquisition without a known outcome is found again by its claim.
    if (acquisition_)
        hasSeen_ = false;
}

void SchedulerLease::handedOver()
{
    acquisition_.reset();
    forgetEpoch();
}

void SchedulerLease::forgetEpoch()
{
    epoch_ = 0;
    leaseVersion_ = 0;
    own_ = {};
}

std::string SchedulerLease::stateText() const
{
    std::ostringstream text;
    const auto micros = [](Time time) { return time.time_since_epoch().count(); };
    text << "epoch " << epoch_ << " version " << leaseVersion_ << " valid until " << (epoch_ == 0 ? 0 : micros(validUntil_))
         << " next renewal " << (epoch_ == 0 ? 0 : micros(nextRenewal_)) << " next read " << micros(nextRead_);
    if (hasSeen_)
        text << " seen " << seen_.leaseVersion_ << ' ' << seen_.heartbeatVersion_ << ' ' << seen_.lease_.holder_ << ' ' << seen_.lease_.epoch_ << " at " << micros(firstSeen_);
    if (acquisition_)
        text << " claim " << acquisition_->record_.claim_ << ' ' << acquisition_->record_.epoch_ << " sent " << micros(acquisition_->sentAt_);
    return text.str();
}

LeaseFence SchedulerLease::fence() const
{
    return { dataCentre_, epoch_, leaseVersion_ };
}

}
