#include "standins/worker/workerendpoint.h"

#include "standins/common/faultport.h"

#include <array>
#include <limits>

namespace fescuecleat::standins {

namespace {

    constexpr std::int64_t most = std::numeric_limits<std::int64_t>::max();
    constexpr std::array<const char*, 6> paths { "/v1/lease", "/v1/prepare", "/v1/start", "/v1/checkpoint", "/v1/stop", "/v1/throttle" };

    bool isKnown(const std::string& path)
    {
        for (const char* known : paths) {
            if (path == known)
                return true;
        }
        return false;
    }

    HttpResponse badRequest(const Error& error) { return refusal(400, errorKindName(error.kind_), describe(error)); }

}

void WorkerEndpoint::handle(const HttpRequest& request, const Reply& reply)
{
    reply(answer(request, monotonicNow()));
}

HttpResponse WorkerEndpoint::answer(const HttpRequest& request, Time now)
{
    if (request.method_ != "POST" || !isKnown(request.path_))
        return notFound(request);
    const Result<JsonValue> value = parseJson(request.body_);
    if (!value)
        return badRequest(value.error());
    std::vector<Error> errors;
    ObjectReader reader(*value, "", errors);
    const auto epoch = static_cast<std::uint64_t>(reader.integer("epoch", 0, most));
    if (!errors.empty())
        return badRequest(errors.front());
    model_.advance(now);
    if (!model_.admitEpoch(epoch)) {
        JsonValue stale = jsonObject();
        stale.addMember("kind") <<= std::string("stale_epoch");
        stale.addMember("message") <<= std::string("a later scheduler was seen");
        stale.addMember("epoch") <<= model_.epoch();
        return jsonResponse(409, stale);
    }
    if (request.path_ == "/v1/lease")
        return renew(reader, errors, now);
    const WorkerRefusal refused = change(request.path_, reader, errors, now);
    if (!errors.empty())
        return badRequest(errors.front());
    return refused ? refusal(409, refused.kind_, refused.message_) : jsonResponse(200, jsonObject());
}

HttpResponse WorkerEndpoint::renew(ObjectReader& reader, std::vector<Error>& errors, Time now)
{
    const std::int64_t until = reader.integer("until_us", 0, most);
    std::vector<TaskKey> forgotten;
    if (const JsonValue* list = reader.array("forget", false)) {
        for (const JsonValue& item : *list)
            forgotten.push_back(parseTaskKey(item, "forget", errors));
    }
    reader.finish();
    if (!errors.empty())
        return badRequest(errors.front());
    model_.renew(until);
    model_.advance(now);
    for (const TaskKey& key : forgotten)
        model_.forget(key);
    return jsonResponse(200, model_.report(now));
}

WorkerRefusal WorkerEndpoint::change(const std::string& path, ObjectReader& reader, std::vector<Error>& errors, Time now)
{
    if (path == "/v1/prepare") {
        const PrepareRequest request = parsePrepare(reader, errors, runScale_);
        reader.finish();
        return errors.empty() ? model_.prepare(request, now) : WorkerRefusal {};
    }
    TaskKey key;
    if (const JsonValue* task = reader.object("task"))
        key = parseTaskKey(*task, "task", errors);
    const std::int64_t startBefore = path == "/v1/start" ? reader.integer("start_before_us", 0, most) : 0;
    const std::int64_t deadline = path == "/v1/checkpoint" ? reader.integer("deadline_us", 0, most) : 0;
    reader.finish();
    if (!errors.empty())
        return {};
    if (path == "/v1/start")
        return model_.start(key, startBefore, now);
    if (path == "/v1/checkpoint")
        return model_.checkpoint(key, deadline, now);
    if (path == "/v1/throttle")
        return model_.throttle(key);
    model_.stop(key, now);
    return {};
}

}
