#include "control/controlrecords.h"

#include "state/recordreader.h"
#include "state/rowkeys.h"

#include <limits>

namespace fescuecleat {

namespace {

    constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();
    constexpr std::size_t maxNameBytes = 256;
    constexpr std::size_t maxReasonBytes = 4096;

    JsonValue newRecord()
    {
        JsonValue value = jsonObject();
        value.addMember("format") <<= controlRecordFormat;
        return value;
    }

    std::uint64_t readUnsigned(ObjectReader& reader, const char* name)
    {
        return static_cast<std::uint64_t>(reader.integer(name, 0, maxInteger));
    }

    /** Parses the text of a control row with `read(reader)`. */
    template <typename Read>
    auto parseRecord(const std::string& text, const std::string& location, Read read) -> Result<decltype(read(std::declval<ObjectReader&>()))>
    {
        const Result<JsonValue> value = parseJson(text, location);
        if (!value)
            return tl::unexpected<Error>(value.error());
        std::vector<Error> errors;
        ObjectReader reader(*value, location, errors);
        if (!readFormat(reader, controlRecordFormat))
            return tl::unexpected<Error>(errors.front());
        auto record = read(reader);
        reader.finish();
        if (!errors.empty())
            return tl::unexpected<Error>(errors.front());
        return record;
    }

    /** Stores a parsed record in `record`, or its error in `outcome`. */
    template <typename Record>
    void store(Result<Record> parsed, Record& record, Result<void>& outcome)
    {
        if (parsed)
            record = std::move(*parsed);
        else
            outcome = tl::unexpected<Error>(parsed.error());
    }

}

std::string writeLeaseRecord(const LeaseRecord& record)
{
    JsonValue value = newRecord();
    value.addMember("holder") <<= record.holder_.value();
    value.addMember("epoch") <<= static_cast<std::int64_t>(record.epoch_);
    value.addMember("claim") <<= record.acquisitionId_;
    return writeJson(value);
}

std::string writeHeartbeat(const LeaseRecord& record)
{
    JsonValue value = newRecord();
    value.addMember("holder") <<= record.holder_.value();
    value.addMember("epoch") <<= static_cast<std::int64_t>(record.epoch_);
    return writeJson(value);
}

std::string writeServiceRecord(const ServiceRecord& record)
{
    JsonValue value = newRecord();
    value.addMember("in_service") <<= record.isInService_;
    value.addMember("by") <<= record.by_;
    value.addMember("reason") <<= record.reason_;
    value.addMember("changed_at_ms") <<= record.changedAt_;
    value.addMember("drain_ms") <<= record.drainMillis_;
    return writeJson(value);
}

std::string writeServiceAcknowledgement(const ServiceAcknowledgement& record)
{
    JsonValue value = newRecord();
    value.addMember("service_version") <<= static_cast<std::int64_t>(record.serviceVersion_);
    value.addMember("epoch") <<= static_cast<std::int64_t>(record.epoch_);
    return writeJson(value);
}

Result<LeaseRecord> parseLeaseRecord(const std::string& text, const std::string& location)
{
    return parseRecord(text, location, [](ObjectReader& reader) {
        LeaseRecord record;
        record.holder_ = InstanceId(readOptionalText(reader, "holder", maxNameBytes));
        record.epoch_ = readUnsigned(reader, "epoch");
        record.acquisitionId_ = readOptionalText(reader, "claim", maxNameBytes);
        return record;
    });
}

Result<ServiceRecord> parseServiceRecord(const std::string& text, const std::string& location)
{
    return parseRecord(text, location, [](ObjectReader& reader) {
        ServiceRecord record;
        record.isInService_ = reader.boolean("in_service");
        record.by_ = readOptionalText(reader, "by", maxNameBytes);
        record.reason_ = readOptionalText(reader, "reason", maxReasonBytes);
        record.changedAt_ = reader.integer("changed_at_ms", 0, maxInteger);
        record.drainMillis_ = reader.integer("drain_ms", 0, maxInteger / 1000);
        return record;
    });
}

Result<ServiceAcknowledgement> parseServiceAcknowledgement(const std::string& text, const std::string& location)
{
    return parseRecord(text, location, [](ObjectReader& reader) {
        ServiceAcknowledgement record;
        record.serviceVersion_ = readUnsigned(reader, "service_version");
        record.epoch_ = readUnsigned(reader, "epoch");
        return record;
    });
}

Result<ControlRows> parseControlRows(const std::vector<Row>& rows, const DataCentreId& dataCentre)
{
    ControlRows control;
    Result<void> outcome;
    for (const Row& row : rows) {
        if (row.key_ == rowkeys::lease(dataCentre)) {
            store(parseLeaseRecord(row.value_, row.key_), control.lease_, outcome);
            control.leaseVersion_ = row.version_;
        } else if (row.key_ == rowkeys::heartbeat(dataCentre)) {
            control.heartbeatVersion_ = row.version_;
        } else if (row.key_ == rowkeys::service(dataCentre)) {
            store(parseServiceRecord(row.value_, row.key_), control.service_, outcome);
            control.serviceVersion_ = row.version_;
        } else if (row.key_ == rowkeys::acknowledgement(dataCentre)) {
            store(parseServiceAcknowledgement(row.value_, row.key_), control.acknowledgement_, outcome);
        }
    }
    if (!outcome)
        return tl::unexpected<Error>(outcome.error());
    return control;
}

}
