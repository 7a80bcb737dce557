#pragma once

#include "base/result.h"
#include "platform/row.h"
#include "routing/requestoutcome.h"
#include "routing/servicerequest.h"

#include <optional>
#include <string>

namespace fescuecleat {

/** A recorded answer; a large body is stored in an object instead of the row. */
struct RecordedAnswer {
    int status_ = 200;
    HttpHeaders headers_;
    std::string body_;
    /** Name of the object that contains the body; empty if the row does. */
    std::string object_;
};

/** The row that ensures that a non-idempotent request runs at most once. */
struct RequestClaim {
    /** Never reused, so that a writer recognises its own row. */
    std::string id_;
    /** Instance that dispatches the request. */
    std::string instance_;
    /** Digest of service, kind and body, to detect a key that is reused for another request. */
    std::string digest_;
    std::optional<RecordedAnswer> answer_;
    /** The request was sent and its answer was lost. */
    bool isOutcomeUnknown_ = false;
};

/** Key of the claim row of an organisation's idempotency key. */
std::string claimKey(const ServiceRequest&);

/** Digest of service, kind and body of the request. */
std::string claimDigest(const ServiceRequest&);

std::string writeRequestClaim(const RequestClaim&);

/** Errors: those of parsing. */
Result<RequestClaim> parseRequestClaim(const Row&);

}
