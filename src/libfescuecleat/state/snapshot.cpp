#include "state/snapshot.h"

#include "state/recordreader.h"

#include <limits>

namespace fescuecleat {

namespace {

    constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();
    constexpr std::size_t maxNameBytes = 256;
    constexpr std::size_t maxConfigurationBytes = 8U << 20U;
    constexpr JsonLimits snapshotLimits { 256U << 20U, 32 };

    std::vector<JobRecord> readJobs(ObjectReader& reader, std::vector<Error>& errors)
    {
        std::vector<JobRecord> jobs;
        const JsonValue* array = reader.array("jobs");
        if (!array)
            return jobs;
        jobs.reserve(array->memberCount());
        for (const JsonValue& member : *array) {
            Result<JobRecord> job = parseJobRecord(member, reader.pathOf("jobs"));
            if (!job) {
                errors.push_back(job.error());
                return jobs;
            }
            jobs.push_back(std::move(*job));
        }
        return jobs;
    }

    ConfigurationVersion readConfiguration(ObjectReader& reader, std::vector<Error>& errors)
    {
        const std::string text = readOptionalText(reader, "configuration", maxConfigurationBytes);
        if (text.empty())
            return {};
        Result<ConfigurationVersion> version = parseConfigurationVersion(text, reader.pathOf("configuration"));
        if (version)
            return *version;
        errors.push_back(version.error());
        return {};
    }

}

std::string writeSnapshot(const Snapshot& snapshot)
{
    JsonValue value = jsonObject();
    value.addMember("format") <<= snapshotFormat;
    value.addMember("data_centre") <<= snapshot.dataCentre_.value();
    value.addMember("epoch") <<= static_cast<std::int64_t>(snapshot.epoch_);
    value.addMember("revision") <<= static_cast<std::int64_t>(snapshot.revision_);
    value.addMember("taken_at_ms") <<= snapshot.takenAtMs_;
    value.addMember("configuration") <<= snapshot.configuration_.head_.version_ == 0 ? std::string() : writeConfigurationVersion(snapshot.configuration_);
    JsonValue& jobs = value.addMember("jobs");
    jobs.setCategory(JsonValue::Array);
    for (const JobRecord& job : snapshot.jobs_)
        jobs.addMember("") = writeJobRecord(job);
    return writeJson(value);
}

Result<Snapshot> parseSnapshot(const std::string& text, const std::string& location)
{
    const Result<JsonValue> value = parseJson(text, location, snapshotLimits);
    if (!value)
        return tl::unexpected<Error>(value.error());
    std::vector<Error> errors;
    ObjectReader reader(*value, location, errors);
    if (!readFormat(reader, snapshotFormat))
        return tl::unexpected<Error>(errors.front());
    Snapshot snapshot;
    snapshot.dataCentre_ = DataCentreId(reader.string("data_centre", maxNameBytes));
    snapshot.epoch_ = static_cast<std::uint64_t>(reader.integer("epoch", 0, maxInteger));
    snapshot.revision_ = static_cast<std::uint64_t>(reader.integer("revision", 0, maxInteger));
    snapshot.takenAtMs_ = reader.integer("taken_at_ms", 0, maxInteger);
    snapshot.configuration_ = readConfiguration(reader, errors);
    snapshot.jobs_ = readJobs(reader, errors);
    reader.finish();
    if (!errors.empty())
        return tl::unexpected<Error>(errors.front());
    return snapshot;
}

}
