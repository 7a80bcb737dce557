#include "control/startpermit.h"

#include <algorithm>

namespace fescuecleat {

void StartPermit::confirmed(Time sentAt, std::uint64_t serviceVersion, bool isInService)
{
    // A late answer may show what was true before a change that is known already.
    if (serviceVersion < serviceVersion_)
        return;
    serviceVersion_ = serviceVersion;
    isTakenOut_ = !isInService;
    if (isTakenOut_) {
        until_ = Time::min();
        return;
    }
    until_ = std::max(until_, sentAt + validity_);
    lastGiven_ = std::max(lastGiven_, until_);
}

bool StartPermit::canAcknowledgeAt(Time now, int startsInFlight) const
{
    return isTakenOut_ && (startsInFlight == 0 || now >= lastGiven_);
}

}
