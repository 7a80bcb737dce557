#include "state/jobrecord.h"

#include "state/recordreader.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace fescuecleat {

namespace {

    constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t maxAccelerators = 1024;
    constexpr std::size_t maxNameBytes = 256;
    constexpr std::size_t maxReasonBytes = 4096;
    constexpr std::size_t maxPayloadBytes = 1U << 20U;

    /** A share of 1 in millionths. */
    constexpr std::int64_t millionthsPerUnit = 1'000'000;

    const JobState allStates[] = { JobState::Submitted, JobState::Queued, JobState::Placed, JobState::Prepared, JobState::Running,
        JobState::Checkpointed, JobState::Finished, JobState::Failed, JobState::Cancelled, JobState::Unknown };

    const Adjacency allAdjacencies[] = { Adjacency::Any, Adjacency::SameRack, Adjacency::SameWorker };

    const char* adjacencyName(Adjacency adjacency)
    {
        switch (adjacency) {
        case Adjacency::Any:
            return "any";
        case Adjacency::SameRack:
            return "same_rack";
        case Adjacency::SameWorker:
            return "same_worker";
        }
        return "any";
    }

    /** Parses the name of an enum value; reports an unknown name. */
    template <typename Value, std::size_t count, typename Name>
    Value readEnumName(ObjectReader& reader, const char* member, const Value (&values)[count], Name name)
    {
        const std::string text = reader.string(member);
        for (const Value value : values) {
            if (text == name(value))
                return value;
        }
        if (!text.empty())
            reader.report(ErrorKind::OutOfRange, "name is unknown", "use one of the documented names", member);
        return values[0];
    }

    /** Writes the requested work, without the job id and the idempotency key. */
    void writeRequest(JsonValue& value, const JobSpec& spec)
    {
        value.addMember("organisation") <<= spec.organisation_.value();
        value.addMember("tasks") <<= spec.tasks_;
        value.addMember("accelerators") <<= spec.shape_.accelerators_;
        value.addMember("processor_millis") <<= spec.shape_.processorMillis_;
        value.addMember("memory_bytes") <<= spec.shape_.memoryBytes_;
        value.addMember("adjacency") <<= std::string(adjacencyName(spec.adjacency_));
        value.addMember("urgent") <<= spec.isUrgent_;
        value.addMember("idempotent") <<= spec.isIdempotent_;
        value.addMember("can_checkpoint") <<= spec.canCheckpoint_;
        value.addMember("run_time_us") <<= static_cast<std::int64_t>(spec.declaredRunTime_.count());
        value.addMember("payload") <<= spec.payload_;
    }

    JobSpec readSpec(ObjectReader& reader)
    {
        JobSpec spec;
        spec.id_ = JobId(reader.string("id", maxNameBytes));
        spec.organisation_ = OrganisationId(reader.string("organisation", maxNameBytes));
        spec.idempotencyKey_ = readOptionalText(reader, "idempotency_key", maxNameBytes);
        spec.tasks_ = static_cast<int>(reader.integer("tasks", 1, maxGangTasks));
        spec.shape_.accelerators_ = static_cast<int>(reader.integer("accelerators", 0, maxAccelerators));
        spec.shape_.processorMillis_ = reader.integer("processor_millis", 0, maxInteger);
        spec.shape_.memoryBytes_ = reader.integer("memory_bytes", 0, maxInteger);
        spec.adjacency_ = readEnumName(reader, "adjacency", allAdjacencies, adjacencyName);
        spec.isUrgent_ = reader.boolean("urgent");
        spec.isIdempotent_ = reader.boolean("idempotent");
        spec.canCheckpoint_ = reader.boolean("can_checkpoint");
        spec.declaredRunTime_ = Duration(reader.integer("run_time_us", 0, maxInteger));
        spec.payload_ = readOptionalText(reader, "payload", maxPayloadBytes);
        return spec;
    }

    std::vector<WorkerId> readPlacement(ObjectReader& reader)
    {
        std::vector<WorkerId> placement;
        const JsonValue* array = reader.array("placement", false);
        if (!array)
            return placement;
        for (const JsonValue& member : *array) {
            std::string name;
            if (member.category() == JsonValue::Value)
                member.getValue(name);
            if (name.empty() || name.size() > maxNameBytes)
                reader.report(ErrorKind::WrongType, "worker id is missing or too long", "write the worker's id", "placement");
            placement.emplace_back(std::move(name));
        }
        return placement;
    }

    /** Stored as an integer because a floating-point number may change when it is written and parsed. */
    std::int64_t toMillionths(double share)
    {
        if (!(share > 0))
            return 0;
        return std::llround(std::min(share, 1.0) * millionthsPerUnit);
    }

    /** Checks that the placement matches the number of tasks. */
    void checkRecord(ObjectReader& reader, const JobRecord& record)
    {
        const std::size_t placedTasks = record.placement_.size();
        if (placedTasks != 0 && placedTasks != static_cast<std::size_t>(record.spec_.tasks_))
            reader.report(ErrorKind::OutOfRange, "placement doesn't name one worker per task", "restore the row from a snapshot", "placement");
    }

}

JsonValue writeJobRecord(const JobRecord& record)
{
    JsonValue value = jsonObject();
    value.addMember("format") <<= jobRecordFormat;
    value.addMember("id") <<= record.spec_.id_.value();
    value.addMember("idempotency_key") <<= record.spec_.idempotencyKey_;
    writeRequest(value, record.spec_);
    value.addMember("state") <<= std::string(jobStateName(record.state_));
    value.addMember("data_centre") <<= record.dataCentre_.value();
    value.addMember("attempt") <<= record.attempt_;
    value.addMember("epoch") <<= static_cast<std::int64_t>(record.epoch_);
    value.addMember("change") <<= static_cast<std::int64_t>(record.changeCount_);
    JsonValue& placement = value.addMember("placement");
    placement.setCategory(JsonValue::Array);
    for (const WorkerId& worker : record.placement_)
        placement.addMember("") <<= worker.value();
    value.addMember("failures") <<= record.failures_;
    value.addMember("checkpointed_millionths") <<= toMillionths(record.checkpointedShare_);
    value.addMember("reason") <<= record.reason_;
    value.addMember("submitted_at_ms") <<= record.submittedAtMs_;
    value.addMember("ended_at_ms") <<= record.endedAtMs_;
    value.addMember("delivered_at_ms") <<= record.deliveredAtMs_;
    return value;
}

std::string writeJobRecordText(const JobRecord& record)
{
    return writeJson(writeJobRecord(record));
}

Result<JobRecord> parseJobRecord(const JsonValue& value, const std::string& location)
{
    std::vector<Error> errors;
    ObjectReader reader(value, location, errors);
    if (!readFormat(reader, jobRecordFormat))
        return tl::unexpected<Error>(errors.front());
    JobRecord record;
    record.spec_ = readSpec(reader);
    record.state_ = readEnumName(reader, "state", allStates, jobStateName);
    record.dataCentre_ = DataCentreId(reader.string("data_centre", maxNameBytes));
    record.attempt_ = static_cast<int>(reader.integer("attempt", 0, std::numeric_limits<int>::max()));
    record.epoch_ = static_cast<std::uint64_t>(reader.integer("epoch", 0, maxInteger));
    record.changeCount_ = static_cast<std::uint64_t>(reader.integer("change", 0, maxInteger));
    record.placement_ = readPlacement(reader);
    record.failures_ = static_cast<int>(reader.integerOr("failures", 0, 0, std::numeric_limits<int>::max()));
    record.checkpointedShare_ = static_cast<double>(reader.integer("checkpointed_millionths", 0, millionthsPerUnit)) / millionthsPerUnit;
    record.reason_ = readOptionalText(reader, "reason", maxReasonBytes);
    record.submittedAtMs_ = reader.integer("submitted_at_ms", 0, maxInteger);
    record.endedAtMs_ = reader.integer("ended_at_ms", 0, maxInteger);
    record.deliveredAtMs_ = reader.integer("delivered_at_ms", 0, maxInteger);
    checkRecord(reader, record);
    reader.finish();
    if (!errors.empty())
        return tl::unexpected<Error>(errors.front());
    return record;
}

Result<JobRecord> parseJobRecordText(const std::string& text, const std::string& location)
{
    const Result<JsonValue> value = parseJson(text, location);
    if (!value)
        return tl::unexpected<Error>(value.error());
    return parseJobRecord(*value, location);
}

double roundToMillionths(double share)
{
    return static_cast<double>(toMillionths(share)) / millionthsPerUnit;
}

std::string submissionFingerprint(const JobSpec& spec)
{
    JsonValue value = jsonObject();
    writeRequest(value, spec);
    return writeJson(value);
}

}
