#pragma once

#include "http/httpclient.h"
#include "load/arrivalplan.h"
#include "load/balancer.h"
#include "load/evidence.h"
#include "load/testbed.h"

namespace fescuecleat {

/** Plays callers of the service. Thread-safe. */
class RequestSender {
public:
    RequestSender(const Testbed& testbed, HttpClient& client, Balancer& balancer)
        : testbed_(testbed)
        , client_(client)
        , balancer_(balancer)
    {
    }

    /** Sends a request that was due at `intended` and waits for its end. */
    SentRequest send(const PlannedRequest&, Time intended);

private:
    HttpRequest message(const PlannedRequest&, Time deadline) const;

    const Testbed& testbed_;
    HttpClient& client_;
    Balancer& balancer_;
};

}
