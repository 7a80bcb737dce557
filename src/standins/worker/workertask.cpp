#include "standins/worker/workertask.h"

#include <limits>

namespace fescuecleat::standins {

namespace {

    constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();
    constexpr int maxAccelerators = 64;
    constexpr std::size_t maxPayloadBytes = 1U << 20U;

    /** Returns `behaviour` changed as the payload says; a payload that isn't a JSON object changes nothing. */
    TaskBehaviour parseBehaviour(const std::string& payload, TaskBehaviour behaviour)
    {
        const Result<JsonValue> value = parseJson(payload);
        if (!value || value->category() != JsonValue::Object)
            return behaviour;
        std::vector<Error> ignored;
        ObjectReader reader(*value, "payload", ignored);
        behaviour.runTime_ = std::chrono::milliseconds(reader.integerOr("run_ms", behaviour.runTime_.count() / 1000, 0, maxInteger / 1000));
        behaviour.memoryBytes_ = reader.integerOr("memory_bytes", behaviour.memoryBytes_, 0, maxInteger);
        behaviour.processorShare_ = reader.numberOr("processor_share", behaviour.processorShare_, 0, 1000);
        behaviour.writesCheckpoints_ = reader.booleanOr("checkpoints", behaviour.writesCheckpoints_);
        behaviour.fails_ = reader.booleanOr("fails", false);
        behaviour.failsOn_ = reader.stringOr("fails_on", "");
        behaviour.tag_ = reader.stringOr("tag", "");
        return behaviour;
    }

}

TaskKey parseTaskKey(const JsonValue& value, const std::string& path, std::vector<Error>& errors)
{
    ObjectReader reader(value, path, errors);
    TaskKey key;
    key.job_ = JobId(reader.string("job"));
    key.attempt_ = static_cast<int>(reader.integer("attempt", 0, std::numeric_limits<int>::max()));
    key.index_ = static_cast<int>(reader.integer("index", 0, std::numeric_limits<int>::max()));
    reader.finish();
    return key;
}

PrepareRequest parsePrepare(ObjectReader& reader, std::vector<Error>& errors, double runScale)
{
    PrepareRequest request;
    if (const JsonValue* task = reader.object("task"))
        request.task_ = parseTaskKey(*task, reader.pathOf("task"), errors);
    if (const JsonValue* list = reader.array("accelerators")) {
        for (const JsonValue& item : *list) {
            // Not a position of any worker, so that an invalid item is refused.
            int position = maxAccelerators;
            item.getValue(position);
            request.accelerators_.push_back(position);
        }
    }
    request.processorMillis_ = reader.integer("processor_millis", 0, maxInteger);
    request.memoryBytes_ = reader.integer("memory_bytes", 0, maxInteger);
    request.organisation_ = reader.stringOr("organisation", "");
    const std::int64_t declaredMs = reader.integerOr("run_time_ms", 0, 0, maxInteger / 1000);
    request.behaviour_.runTime_ = Duration(static_cast<std::int64_t>(static_cast<double>(declaredMs) * 1000 * runScale));
    request.behaviour_.memoryBytes_ = request.memoryBytes_;
    std::string payload;
    if (const JsonValue* text = reader.any("payload"))
        text->getValue(payload);
    if (payload.size() > maxPayloadBytes)
        reader.report(ErrorKind::TooLarge, "payload is too large", "send at most 1 MiB", "payload");
    request.behaviour_ = parseBehaviour(payload, request.behaviour_);
    return request;
}

}
