#include "control/servicewatch.h"

#include "control/clockdrift.h"

namespace fescuecleat {

void ServiceWatch::known(std::uint64_t version, Time receivedAt)
{
    if (version <= version_)
        return;
    version_ = version;
    since_ = receivedAt;
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
    // Permits that don't know of the change were asked for before it was written, hence before since_.
    const bool hasLapsed = rows.serviceVersion_ == version_ && now >= since_ + waitToCover(timing_.startPermit_);
    return hasLapsed ? ServiceProgress::Done : ServiceProgress::Pending;
}

}
