#pragma once

#include "standins/common/endpoint.h"
#include "standins/common/eventlog.h"
#include "standins/common/faultset.h"
#include "standins/common/traffic.h"

#include <functional>
#include <utility>

namespace fescuecleat::standins {

/** The control endpoint of a stand-in: sets faults and returns the event log and the traffic counters. */
class FaultPort : public Endpoint {
public:
    using Fallback = std::function<HttpResponse(const HttpRequest&)>;

    /** `fallback` handles the requests that only one kind of stand-in supports. */
    FaultPort(FaultSet& faults, EventLog& log, Traffic& traffic, Fallback fallback)
        : faults_(faults)
        , log_(log)
        , traffic_(traffic)
        , fallback_(std::move(fallback))
    {
    }

    void handle(const HttpRequest&, const Reply&) override;

private:
    HttpResponse setFaults(const HttpRequest&);

    FaultSet& faults_;
    EventLog& log_;
    Traffic& traffic_;
    Fallback fallback_;
};

/** Returns the 404 response to an unsupported request. */
HttpResponse notFound(const HttpRequest&);

}
