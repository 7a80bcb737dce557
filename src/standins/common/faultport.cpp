#include "standins/common/faultport.h"

#include <cstdlib>

namespace fescuecleat::standins {

void FaultPort::handle(const HttpRequest& request, const Reply& reply)
{
    if (request.method_ == "POST" && request.path_ == "/faults")
        return reply(setFaults(request));
    if (request.method_ == "GET" && request.path_ == "/log") {
        const auto since = request.query_.find("since");
        return reply(jsonResponse(200, log_.dump(since == request.query_.end() ? 0 : std::strtoull(since->second.c_str(), nullptr, 10))));
    }
    if (request.method_ == "GET" && request.path_ == "/traffic")
        return reply(jsonResponse(200, traffic_.dump()));
    reply(fallback_(request));
}

HttpResponse FaultPort::setFaults(const HttpRequest& request)
{
    const Time now = monotonicNow();
    const Result<JsonValue> value = parseJson(request.body_);
    if (!value)
        return errorResponse(400, errorKindName(value.error().kind_), describe(value.error()));
    Result<std::vector<Fault>> faults = parseFaults(*value, now);
    if (!faults)
        return errorResponse(400, errorKindName(faults.error().kind_), describe(faults.error()));
    log_.add(now, "", "faults_set", { { "faults", request.body_ } });
    faults_.replace(std::move(*faults));
    return jsonResponse(200, jsonObject());
}

HttpResponse notFound(const HttpRequest& request)
{
    return errorResponse(404, "not_found", request.method_ + " " + request.path_ + " is not supported by this stand-in");
}

}
