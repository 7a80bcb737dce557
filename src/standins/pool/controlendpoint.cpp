#include "controlendpoint.h"

#include "base/bootclock.h"
#include "checkedobject.h"

namespace fescuecleat {

namespace {

    using Json = nlohmann::json;

    constexpr std::uint64_t maxBodyBytes = 4 << 20;
    constexpr Duration idleTimeout = std::chrono::minutes(10);
    constexpr std::int64_t maxDurationMs = 86400000;
    constexpr std::int64_t maxAccelerators = 1000;
    const std::string closuresPrefix = "/closures/";

    HttpLimits limits()
    {
        HttpLimits limits;
        limits.maxBodyBytes_ = maxBodyBytes;
        limits.idleTimeout_ = idleTimeout;
        return limits;
    }

    std::string readWorker(CheckedObject& object)
    {
        const auto worker = object.text("worker");
        if (!worker)
            object.refuse("worker", "is missing");
        return *worker;
    }

    Duration readMilliseconds(CheckedObject& object, const char* name)
    {
        const auto value = object.integer(name, 0, maxDurationMs);
        if (!value)
            object.refuse(name, "is missing");
        return std::chrono::milliseconds(*value);
    }

}

ControlEndpoint::ControlEndpoint(boost::asio::io_context& loop, PoolStandin& standin)
    : standin_(standin)
    , server_(loop, [this](const ServerRequest& request, const AsyncHttpServer::Respond& respond) { respond(handle(request)); })
{
    server_.setLimits(limits());
}

ServerResponse ControlEndpoint::handle(const ServerRequest& request)
{
    ServerResponse response;
    if (request.method_ == "GET" && request.path_ == "/audit") {
        response.body_ = standin_.audit().dump();
        return response;
    }
    Result<void> outcome;
    try {
        outcome = apply(request);
    } catch (const Json::exception& error) {
        outcome = failure(ErrorKind::InvalidSyntax, error.what(), "correct the body");
    }
    response.status_ = outcome ? 200 : 400;
    response.body_ = (outcome ? Json::object() : Json { { "error", outcome.error().message_ } }).dump(-1, ' ', false, Json::error_handler_t::replace);
    return response;
}

Result<void> ControlEndpoint::apply(const ServerRequest& request)
{
    const std::string call = request.method_ + " " + request.path_;
    if (call == "POST /faults") {
        const auto faults = parsePlatformFaults(Json::parse(request.body_), standin_.faults());
        if (!faults)
            return tl::unexpected<Error>(faults.error());
        standin_.applyFaults(*faults);
        return {};
    }
    if (call == "POST /workers/restart")
        return restart(Json::parse(request.body_));
    if (call == "POST /workers/hide")
        return hide(Json::parse(request.body_));
    if (call == "POST /workers/capacity")
        return resize(Json::parse(request.body_));
    if (call == "PUT /configuration")
        return standin_.setConfiguration(request.body_);
    const bool closes = request.method_ == "PUT";
    const bool isClosure = request.path_.compare(0, closuresPrefix.size(), closuresPrefix) == 0 && request.path_.size() > closuresPrefix.size();
    if (!isClosure || (!closes && request.method_ != "DELETE"))
        return failure(ErrorKind::NotFound, "there is no call " + call, "use a call of the control interface");
    standin_.setClosed(request.path_.substr(closuresPrefix.size()), closes);
    return {};
}

Result<void> ControlEndpoint::restart(const Json& json)
{
    CheckedObject object(json, {});
    WorkerRestart restart;
    restart.worker_ = readWorker(object);
    restart.downtime_ = readMilliseconds(object, "downtimeMs");
    restart.label_ = object.text("label").value_or(std::string());
    if (!restart.label_.empty() && restart.label_ != "a" && restart.label_ != "b")
        object.refuse("label", "must be a or b");
    restart.service_ = object.text("service").value_or(std::string());
    object.refuseOthers();
    return standin_.restart(restart);
}

Result<void> ControlEndpoint::resize(const Json& json)
{
    CheckedObject object(json, {});
    const std::string worker = readWorker(object);
    const auto accelerators = object.integer("accelerators", 0, maxAccelerators);
    if (!accelerators)
        object.refuse("accelerators", "is missing");
    object.refuseOthers();
    return standin_.resize(worker, *accelerators);
}

Result<void> ControlEndpoint::hide(const Json& json)
{
    CheckedObject object(json, {});
    const std::string worker = readWorker(object);
    const Time until = bootTimeNow() + readMilliseconds(object, "forMs");
    object.refuseOthers();
    return standin_.hide(worker, until);
}

}
