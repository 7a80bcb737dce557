#pragma once

#include "http/httpclient.h"
#include "load/arrivalplan.h"
#include "load/balancer.h"
#include "load/evidence.h"
#include "load/testbed.h"

namespace fescuecleat {

/** Simulates callers of the service. Thread-safe. */
class RequestSender {
public:
    RequestSender(const Testbed& testbed, HttpClient& client, Balancer& balancer)
        : testbed_(testbed)
        , client_(client)
        , balancer_(balancer)
    {
    }

    /** Sends a request that was scheduled for `intended` and waits for its outcome. */
    SentRequest send(const PlannedRequest&, Time intended);

private:
    HttpRequest buildRequest(const PlannedRequest&, Time deadline) const;

    const Testbed& testbed_;
    HttpClient& client_;
    Balancer& balancer_;
};

}
