#pragma once

#include "standins/common/endpoint.h"
#include "standins/common/eventlog.h"
#include "standins/common/faultset.h"
#include "standins/common/traffic.h"

#include <functional>
#include <utility>

namespace fescuecleat::standins {

/** The second address of a stand-in: sets faults, hands out the log, passes the rest on. */
class FaultPort : public Endpoint {
public:
    using Other = std::function<HttpResponse(const HttpRequest&)>;

    /** `other` answers the calls that only this kind of stand-in has. */
    FaultPort(FaultSet& faults, EventLog& log, Traffic& traffic, Other other)
        : faults_(faults)
        , log_(log)
        , traffic_(traffic)
        , other_(std::move(other))
    {
    }

    void handle(const HttpRequest&, const Reply&) override;

private:
    HttpResponse setFaults(const HttpRequest&);

    FaultSet& faults_;
    EventLog& log_;
    Traffic& traffic_;
    Other other_;
};

/** The answer to a path that nobody has. */
HttpResponse notFound(const HttpRequest&);

}
