#include "control/servicewatch.h"

#include "control/clockdrift.h"

namespace fescuecleat {

void ServiceWatch::noteVersion(std::uint64_t version, Time receivedAt)
{
    if (version <= version_)
        return;
    version_ = version;
    versionSeenAt_ = receivedAt;
}

bool ServiceWatch::isAcknowledged(const ControlRows& rows)
{
    return rows.acknowledgement_.serviceVersion_ >= rows.serviceVersion_;
}

ServiceProgress ServiceWatch::progress(const ControlRows& rows, Time now) const
{
    if (rows.service_.isInService_)
        return ServiceProgress::InService;
    if (isAcknowledged(rows))
        return ServiceProgress::Done;
    // Start permits obtained without the change were requested before it was written, hence before versionSeenAt_.
    const bool hasExpired = rows.serviceVersion_ == version_ && now >= versionSeenAt_ + localWaitCovering(timing_.startPermitDuration_);
    return hasExpired ? ServiceProgress::Done : ServiceProgress::Pending;
}

}
