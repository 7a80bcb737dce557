#include "control/startpermit.h"

#include <algorithm>

namespace fescuecleat {

void StartPermit::confirmed(Time sentAt, std::uint64_t serviceVersion, bool isInService)
{
    // A delayed answer may show the state before a change that is known already.
    if (serviceVersion < serviceVersion_)
        return;
    serviceVersion_ = serviceVersion;
    isTakenOut_ = !isInService;
    if (isTakenOut_) {
        expiresAt_ = Time::min();
        return;
    }
    expiresAt_ = std::max(expiresAt_, sentAt + validity_);
    latestExpiry_ = std::max(latestExpiry_, expiresAt_);
}

bool StartPermit::canAcknowledgeAt(Time now, int startsInFlight) const
{
    return isTakenOut_ && (startsInFlight == 0 || now >= latestExpiry_);
}

}
