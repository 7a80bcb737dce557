#pragma once

#include "control/configurationcontrol.h"
#include "control/datacentrecontrol.h"
#include "daemon/configurationwatcher.h"
#include "daemon/identitysource.h"
#include "http/httphandler.h"
#include "telemetry/metrics.h"
#include "json/json.h"

#include <functional>
#include <string>
#include <vector>

namespace fescuecleat {

/** Callbacks of OperatorHandler into the daemon. */
struct OperatorHooks {
    /** Returns the reason why the instance is not ready; empty if it is. */
    std::function<std::string()> notReadyReason_;
    /** Returns the state of the process for /v1/state. */
    std::function<JsonValue()> dump_;
    /** Cuts the connections to these instances, for tests. Errors: Unsupported if peers have keys. */
    std::function<Result<void>(const std::vector<InstanceId>&)> cut_;
};

/** HTTP API for operators: health, metrics, state, data centres and configuration. */
class OperatorHandler : public HttpHandler {
public:
    /** All references must outlive the handler. */
    OperatorHandler(IdentitySource&, DataCentreControl&, ConfigurationControl&, ConfigurationWatcher&, Metrics&, std::vector<DataCentreId>, OperatorHooks);

    HttpResponse handle(const HttpRequest&) override;

private:
    HttpResponse ready();
    HttpResponse metrics();
    HttpResponse routeForOperators(const HttpRequest&, const std::vector<std::string>& path);
    HttpResponse routeDataCentres(const HttpRequest&, const std::vector<std::string>& path);
    HttpResponse routeConfiguration(const HttpRequest&, const std::vector<std::string>& path);
    HttpResponse listDataCentres();
    HttpResponse takeOut(const HttpRequest&, const DataCentreId&);
    HttpResponse bringBack(const HttpRequest&, const DataCentreId&);
    HttpResponse changeService(const ServiceChange&, Time until);
    HttpResponse showConfiguration();
    HttpResponse applyConfiguration(const HttpRequest&);
    HttpResponse history();
    HttpResponse cut(const HttpRequest&);

    IdentitySource& identities_;
    DataCentreControl& control_;
    ConfigurationControl& configurations_;
    ConfigurationWatcher& watcher_;
    Metrics& metrics_;
    const std::vector<DataCentreId> dataCentres_;
    const OperatorHooks hooks_;
};

}
