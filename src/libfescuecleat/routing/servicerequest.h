#pragma once

#include "base/id.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <string>

namespace fescuecleat {

/** A caller's request to a service. */
struct ServiceRequest {
    /** Never reused; the minion has to echo it. */
    RequestId id_;
    OrganisationId organisation_;
    ServiceId service_;
    std::string kind_;
    std::string body_;
    /** Sent to the minion as the remaining time. */
    Time deadline_;
    /** True if the request may run more than once. */
    bool isIdempotent_ = false;
    /** Set by the caller; required unless the request is idempotent. */
    std::string idempotencyKey_;
    /** Additional headers for the minion; headers that the protocol sets itself are ignored. */
    HttpHeaders headers_;
};

}
