#include "standins/worker/workerendpoint.h"

#include "standins/common/faultport.h"

#include <array>
#include <limits>

namespace fescuecleat::standins {

namespace {

    constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();
    constexpr std::array<const char*, 6> supportedPaths { "/v1/lease", "/v1/prepare", "/v1/start", "/v1/checkpoint", "/v1/stop", "/v1/throttle" };

    bool isSupported(const std::string& path)
    {
        for (const char* supported : supportedPaths) {
            if (path == supported)
                return true;
        }
        return false;
    }

    HttpResponse badRequest(const Error& error) { return errorResponse(400, errorKindName(error.kind_), describe(error)); }

}

void WorkerEndpoint::handle(const HttpRequest& request, const Reply& reply)
{
    reply(respond(request, monotonicNow()));
}

HttpResponse WorkerEndpoint::respond(const HttpRequest& request, Time now)
{
    if (request.method_ != "POST" || !isSupported(request.path_))
        return notFound(request);
    const Result<JsonValue> value = parseJson(request.body_);
    if (!value)
        return badRequest(value.error());
    std::vector<Error> errors;
    ObjectReader reader(*value, "", errors);
    const auto epoch = static_cast<std::uint64_t>(reader.integer("epoch", 0, maxInteger));
    if (!errors.empty())
        return badRequest(errors.front());
    model_.advance(now);
    if (!model_.acceptEpoch(epoch)) {
        JsonValue stale = jsonObject();
        stale.addMember("kind") <<= std::string("stale_epoch");
        stale.addMember("message") <<= std::string("the worker has accepted a scheduler with a higher epoch");
        stale.addMember("epoch") <<= model_.epoch();
        return jsonResponse(409, stale);
    }
    if (request.path_ == "/v1/lease")
        return renewPermit(reader, errors, now);
    const WorkerRefusal refusal = execute(request.path_, reader, errors, now);
    if (!errors.empty())
        return badRequest(errors.front());
    return refusal ? errorResponse(409, refusal.kind_, refusal.message_) : jsonResponse(200, jsonObject());
}

HttpResponse WorkerEndpoint::renewPermit(ObjectReader& reader, std::vector<Error>& errors, Time now)
{
    const std::int64_t untilUs = reader.integer("until_us", 0, maxInteger);
    std::vector<TaskKey> forgotten;
    if (const JsonValue* list = reader.array("forget", false)) {
        for (const JsonValue& item : *list)
            forgotten.push_back(parseTaskKey(item, "forget", errors));
    }
    reader.finish();
    if (!errors.empty())
        return badRequest(errors.front());
    model_.renewPermit(untilUs);
    model_.advance(now);
    for (const TaskKey& key : forgotten)
        model_.forget(key);
    return jsonResponse(200, model_.report(now));
}

WorkerRefusal WorkerEndpoint::execute(const std::string& path, ObjectReader& reader, std::vector<Error>& errors, Time now)
{
    if (path == "/v1/prepare") {
        const PrepareRequest request = parsePrepare(reader, errors, runScale_);
        reader.finish();
        return errors.empty() ? model_.prepare(request, now) : WorkerRefusal {};
    }
    TaskKey key;
    if (const JsonValue* task = reader.object("task"))
        key = parseTaskKey(*task, "task", errors);
    const std::int64_t startBeforeUs = path == "/v1/start" ? reader.integer("start_before_us", 0, maxInteger) : 0;
    const std::int64_t deadlineUs = path == "/v1/checkpoint" ? reader.integer("deadline_us", 0, maxInteger) : 0;
    reader.finish();
    if (!errors.empty())
        return {};
    if (path == "/v1/start")
        return model_.start(key, startBeforeUs, now);
    if (path == "/v1/checkpoint")
        return model_.checkpoint(key, deadlineUs, now);
    if (path == "/v1/throttle")
        return model_.throttle(key);
    model_.stop(key, now);
    return {};
}

}
