#pragma once

#include "standins/common/endpoint.h"
#include "standins/common/eventlog.h"
#include "standins/common/eventloop.h"
#include "standins/platform/instancelistmodel.h"
#include "standins/platform/tablemodel.h"
#include "standins/platform/throughputlimit.h"

#include <map>
#include <string>

namespace fescuecleat::standins {

/** Throughput and delays of the platform stand-in. */
struct PlatformLimits {
    int writesPerSecond_ = 400;
    int readsPerSecond_ = 2000;
    /** Latency added to every call. */
    Duration latency_ { 500 };
    /** Delay until changes of the instance list are visible. */
    Duration instanceLag_ = std::chrono::seconds(2);
};

/** The platform's API: table, object store and instance list. */
class PlatformEndpoint : public Endpoint {
public:
    PlatformEndpoint(EventLoop&, EventLog&, const PlatformLimits&);

    void handle(const HttpRequest&, const Reply&) override;

    /** Handles the requests that only the fault port supports: GET, POST and DELETE /instances. */
    HttpResponse handleFaultPort(const HttpRequest&);

private:
    HttpResponse respond(const HttpRequest&);
    HttpResponse commit(const HttpRequest&);
    HttpResponse object(const HttpRequest&);
    HttpResponse listObjects(const std::string& prefix) const;
    HttpResponse updateInstances(const HttpRequest&);

    EventLoop& loop_;
    EventLog& log_;
    Duration latency_;
    ThroughputLimit writeLimit_;
    ThroughputLimit readLimit_;
    TableModel table_;
    std::map<std::string, std::string> objects_;
    InstanceListModel instances_;
};

}
