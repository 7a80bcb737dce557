#pragma once

#include "http/httpclient.h"
#include "routing/attemptresult.h"
#include "routing/servicerequest.h"

namespace fescuecleat {

/** The HTTP request that carries a service request to a minion. */
HttpRequest minionRequest(const ServiceRequest&, Time deadline, Time now);

/** Judges what came back: only a whole answer that echoes the id is an answer. */
AttemptResult judgeAnswer(const ServiceRequest&, const tl::expected<HttpResponse, TransportError>&);

/** True if the minion asks for nothing new. */
bool saysLeaving(const HttpResponse&);

}
