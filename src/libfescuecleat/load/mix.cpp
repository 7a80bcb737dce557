#include "load/mix.h"

#include "json/objectreader.h"

namespace fescuecleat {

namespace {

    constexpr double maxRatePerSecond = 10000;
    constexpr double maxLogSigma = 3;
    constexpr std::int64_t maxDurationMs = 86400000;
    constexpr std::int64_t maxProcessorMillis = 1000000;
    constexpr std::int64_t maxMemoryBytes = std::int64_t { 1 } << 42U;
    constexpr int maxAccelerators = 64;

    Duration readMilliseconds(ObjectReader& reader, const std::string& name)
    {
        return std::chrono::milliseconds(reader.integer(name, 1, maxDurationMs));
    }

    Adjacency readAdjacency(ObjectReader& reader)
    {
        const std::string text = reader.stringOr("adjacency", "any");
        if (text == "same_rack")
            return Adjacency::SameRack;
        if (text == "same_worker")
            return Adjacency::SameWorker;
        if (text != "any")
            reader.report(ErrorKind::OutOfRange, "unknown adjacency", "write any, same_rack or same_worker", "adjacency");
        return Adjacency::Any;
    }

    RequestStream parseRequestStream(const JsonValue& value, const std::string& path, std::vector<Error>& errors)
    {
        ObjectReader reader(value, path, errors);
        RequestStream stream;
        stream.kind_ = reader.string("kind");
        stream.ratePerSecond_ = reader.number("per_second", 0, maxRatePerSecond);
        stream.workTime_ = readMilliseconds(reader, "work_ms");
        stream.logSigma_ = reader.numberOr("spread", 0, 0, maxLogSigma);
        stream.timeout_ = readMilliseconds(reader, "deadline_ms");
        stream.isIdempotent_ = reader.booleanOr("idempotent", true);
        reader.finish();
        return stream;
    }

    JobStream parseJobStream(const JsonValue& value, const std::string& path, std::vector<Error>& errors)
    {
        ObjectReader reader(value, path, errors);
        JobStream stream;
        stream.name_ = reader.string("name");
        stream.ratePerSecond_ = reader.number("per_second", 0, maxRatePerSecond);
        stream.tasks_ = static_cast<int>(reader.integerOr("tasks", 1, 1, maxGangTasks));
        stream.shape_.accelerators_ = static_cast<int>(reader.integerOr("accelerators", 1, 0, maxAccelerators));
        stream.shape_.processorMillis_ = reader.integerOr("processor_millis", 1000, 0, maxProcessorMillis);
        stream.shape_.memoryBytes_ = reader.integerOr("memory_bytes", 0, 0, maxMemoryBytes);
        stream.adjacency_ = readAdjacency(reader);
        stream.isUrgent_ = reader.booleanOr("urgent", false);
        stream.isIdempotent_ = reader.booleanOr("idempotent", true);
        stream.canCheckpoint_ = reader.booleanOr("can_checkpoint", true);
        stream.runTime_ = readMilliseconds(reader, "run_ms");
        stream.logSigma_ = reader.numberOr("spread", 0, 0, maxLogSigma);
        stream.declaredLogSigma_ = reader.numberOr("declared_spread", 0, 0, maxLogSigma);
        stream.failingShare_ = reader.numberOr("failing_share", 0, 0, 1);
        reader.finish();
        return stream;
    }

}

ValidationResult<Mix> parseMix(const JsonValue& value)
{
    std::vector<Error> errors;
    ObjectReader reader(value, "", errors);
    Mix mix;
    mix.deployment_ = reader.string("deployment");
    if (const JsonValue* list = reader.array("requests", false)) {
        for (const JsonValue& item : *list)
            mix.requests_.push_back(parseRequestStream(item, "requests[" + std::to_string(mix.requests_.size()) + "]", errors));
    }
    if (const JsonValue* list = reader.array("jobs", false)) {
        for (const JsonValue& item : *list)
            mix.jobs_.push_back(parseJobStream(item, "jobs[" + std::to_string(mix.jobs_.size()) + "]", errors));
    }
    if (const JsonValue* list = reader.array("organisation_weights", false)) {
        for (const JsonValue& item : *list) {
            double weight = 0;
            item.getValue(weight);
            mix.organisationWeights_.push_back(weight);
        }
    }
    reader.finish();
    if (!errors.empty())
        return tl::unexpected<std::vector<Error>>(errors);
    return mix;
}

}
