#include "api/jobsubmission.h"

#include "json/objectreader.h"

#include <array>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr std::int64_t maxAcceleratorsPerTask = 64;
    constexpr std::int64_t maxProcessorMillis = 10000000;
    constexpr std::int64_t maxMemoryBytes = std::int64_t { 1 } << 46U; // 64 TiB
    constexpr std::int64_t maxRunTimeMs = std::int64_t { 365 } * 24 * 3600 * 1000; // one year
    constexpr std::size_t maxPayloadBytes = 16384;
    constexpr std::size_t maxIdempotencyKeyBytes = 128;

    constexpr std::array<std::pair<Adjacency, const char*>, 3> adjacencyNames { {
        { Adjacency::Any, "any" },
        { Adjacency::SameRack, "same_rack" },
        { Adjacency::SameWorker, "same_worker" },
    } };

    Adjacency readAdjacency(ObjectReader& reader)
    {
        const std::string text = reader.stringOr("adjacency", "any");
        for (const auto& [adjacency, name] : adjacencyNames) {
            if (text == name)
                return adjacency;
        }
        if (!text.empty())
            reader.report(ErrorKind::OutOfRange, "adjacency \"" + text + "\" is not known", "write \"any\", \"same_rack\" or \"same_worker\"", "adjacency");
        return Adjacency::Any;
    }

    TaskShape readShape(ObjectReader& reader)
    {
        TaskShape shape;
        shape.accelerators_ = static_cast<int>(reader.integer("accelerators", 1, maxAcceleratorsPerTask));
        shape.processorMillis_ = reader.integerOr("processor_millis", shape.processorMillis_, 0, maxProcessorMillis);
        shape.memoryBytes_ = reader.integerOr("memory_bytes", shape.memoryBytes_, 0, maxMemoryBytes);
        return shape;
    }

}

ValidationResult<JobSpec> parseJobSubmission(const JsonValue& value, const OrganisationId& organisation)
{
    std::vector<Error> errors;
    ObjectReader reader(value, {}, errors);
    JobSpec spec;
    spec.organisation_ = organisation;
    spec.tasks_ = static_cast<int>(reader.integer("tasks", 1, maxGangTasks));
    spec.shape_ = readShape(reader);
    spec.declaredRunTime_ = std::chrono::milliseconds(reader.integer("run_time_ms", 1, maxRunTimeMs));
    spec.adjacency_ = readAdjacency(reader);
    spec.isUrgent_ = reader.booleanOr("urgent", spec.isUrgent_);
    spec.isIdempotent_ = reader.booleanOr("idempotent", spec.isIdempotent_);
    spec.canCheckpoint_ = reader.booleanOr("can_checkpoint", spec.canCheckpoint_);
    spec.idempotencyKey_ = reader.stringOr("idempotency_key", {}, maxIdempotencyKeyBytes);
    spec.payload_ = reader.stringOr("payload", {}, maxPayloadBytes);
    if (!spec.isIdempotent_ && !reader.has("idempotency_key"))
        reader.report(ErrorKind::MissingMember, "a job that is not idempotent needs an idempotency key", "add one and use the same if you submit the job again", "idempotency_key");
    reader.finish();
    if (!errors.empty())
        return tl::make_unexpected(std::move(errors));
    return spec;
}

JsonValue writeJobSubmission(const JobSpec& spec)
{
    JsonValue value = jsonObject();
    value.addValue("tasks", spec.tasks_);
    value.addValue("accelerators", spec.shape_.accelerators_);
    value.addValue("processor_millis", spec.shape_.processorMillis_);
    value.addValue("memory_bytes", spec.shape_.memoryBytes_);
    value.addValue("run_time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(spec.declaredRunTime_).count());
    for (const auto& [adjacency, name] : adjacencyNames) {
        if (adjacency == spec.adjacency_)
            value.addValue("adjacency", std::string(name));
    }
    value.addValue("urgent", spec.isUrgent_);
    value.addValue("idempotent", spec.isIdempotent_);
    value.addValue("can_checkpoint", spec.canCheckpoint_);
    if (!spec.idempotencyKey_.empty())
        value.addValue("idempotency_key", spec.idempotencyKey_);
    if (!spec.payload_.empty())
        value.addValue("payload", spec.payload_);
    return value;
}

}
