#pragma once

#include "base/result.h"
#include "platform/row.h"
#include "routing/requestoutcome.h"
#include "routing/servicerequest.h"

#include <optional>
#include <string>

namespace fescuecleat {

/** A recorded answer; its body stands in the row or, if it is large, in an object. */
struct RecordedAnswer {
    int status_ = 200;
    HttpHeaders headers_;
    std::string body_;
    /** Name of the object that holds the body; empty if the row does. */
    std::string object_;
};

/** The row that lets a non-idempotent request run at most once. */
struct RequestClaim {
    /** Unique for ever, so that a writer recognises its own row. */
    std::string id_;
    /** Instance that dispatches the request. */
    std::string instance_;
    /** Digest of service, kind and body: a key stands for one request only. */
    std::string digest_;
    std::optional<RecordedAnswer> answer_;
    /** The request was sent and no answer will come any more. */
    bool isUnknown_ = false;
};

/** Key of the claim row of an organisation's idempotency key. */
std::string claimKey(const ServiceRequest&);

/** Digest of what the request asks for. */
std::string claimDigest(const ServiceRequest&);

std::string writeRequestClaim(const RequestClaim&);

/** Errors: those of parsing. */
Result<RequestClaim> parseRequestClaim(const Row&);

}
