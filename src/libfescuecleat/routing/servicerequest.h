#pragma once

#include "base/id.h"
#include "base/time.h"
#include "http/httpmessage.h"

#include <string>

namespace fescuecleat {

/** A caller's request to a service, as the caller edge read it. */
struct ServiceRequest {
    /** Unique for ever; the minion has to echo it. */
    RequestId id_;
    OrganisationId organisation_;
    ServiceId service_;
    std::string kind_;
    std::string body_;
    /** Passed on to the minion as the time that remains. */
    Time deadline_;
    /** True if running the request twice does no harm. */
    bool isIdempotent_ = false;
    /** Chosen by the caller; required unless the request is idempotent. */
    std::string idempotencyKey_;
    /** Further fields for the minion; the protocol's own fields are ignored. */
    HttpHeaders headers_;
};

}
