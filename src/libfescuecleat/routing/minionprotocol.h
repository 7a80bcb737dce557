#pragma once

#include "http/httpclient.h"
#include "routing/attemptresult.h"
#include "routing/servicerequest.h"

namespace fescuecleat {

/** The HTTP request that carries a service request to a minion. */
HttpRequest minionRequest(const ServiceRequest&, Time deadline, Time now);

/** Classifies the result of the HTTP request. A response that doesn't echo the request id is unusable. */
AttemptResult classifyResponse(const ServiceRequest&, const tl::expected<HttpResponse, TransportError>&);

/** True if the minion signals that it is leaving and accepts no new requests. */
bool reportsLeaving(const HttpResponse&);

}
