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

/** How fast the platform stand-in is. */
struct PlatformLimits {
    int writesPerSecond_ = 400;
    int readsPerSecond_ = 2000;
    /** Time that every call takes besides. */
    Duration latency_ { 500 };
    /** Age of what the instance list shows. */
    Duration instanceLag_ = std::chrono::seconds(2);
};

/** The platform's calls: table, object store, instance list. */
class PlatformEndpoint : public Endpoint {
public:
    PlatformEndpoint(EventLoop&, EventLog&, const PlatformLimits&);

    void handle(const HttpRequest&, const Reply&) override;

    /** The calls that only the fault port has: POST and DELETE /instances. */
    HttpResponse handleFaultPort(const HttpRequest&);

private:
    HttpResponse answer(const HttpRequest&);
    HttpResponse commit(const HttpRequest&);
    HttpResponse object(const HttpRequest&);
    HttpResponse objectNames(const std::string& prefix) const;
    HttpResponse changeInstances(const HttpRequest&);

    EventLoop& loop_;
    EventLog& log_;
    Duration latency_;
    ThroughputLimit writes_;
    ThroughputLimit reads_;
    TableModel table_;
    std::map<std::string, std::string> objects_;
    InstanceListModel instances_;
};

}
