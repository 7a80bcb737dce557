#include "control/configurationrecords.h"

#include "state/recordreader.h"

#include <limits>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();
    constexpr std::size_t maxNameBytes = 256;
    constexpr std::size_t maxReasonBytes = 4096;
    constexpr std::size_t maxContentBytes = 2U << 20U;

    void writeHead(JsonValue& value, const ConfigurationHead& head)
    {
        value.addMember("format") <<= configurationRecordFormat;
        value.addMember("version") <<= static_cast<std::int64_t>(head.version_);
        value.addMember("by") <<= head.by_;
        value.addMember("changed_at_ms") <<= head.changedAt_;
    }

    ConfigurationHead readHead(ObjectReader& reader)
    {
        ConfigurationHead head;
        head.version_ = static_cast<std::uint64_t>(reader.integer("version", 1, maxInteger));
        head.by_ = readOptionalText(reader, "by", maxNameBytes);
        head.changedAt_ = reader.integer("changed_at_ms", 0, maxInteger);
        return head;
    }

    std::map<DataCentreId, std::string> readOverlays(ObjectReader& reader, std::vector<Error>& errors)
    {
        std::map<DataCentreId, std::string> overlays;
        const JsonValue* object = reader.object("overlays");
        if (!object)
            return overlays;
        ObjectReader overlayReader(*object, reader.pathOf("overlays"), errors);
        for (const JsonValue& member : *object) {
            if (member.name().empty())
                reader.report(ErrorKind::OutOfRange, "overlay has an empty data centre id", "name the overlay after its data centre", "overlays");
            overlays[DataCentreId(member.name())] = readOptionalText(overlayReader, member.name().c_str(), maxContentBytes);
        }
        return overlays;
    }

    /** Parses the text of a configuration row with `read(reader, errors)`. */
    template <typename Read>
    auto parseRecord(const std::string& text, const std::string& location, Read read) -> Result<decltype(read(std::declval<ObjectReader&>(), std::declval<std::vector<Error>&>()))>
    {
        const Result<JsonValue> value = parseJson(text, location);
        if (!value)
            return tl::unexpected<Error>(value.error());
        std::vector<Error> errors;
        ObjectReader reader(*value, location, errors);
        if (!readFormat(reader, configurationRecordFormat))
            return tl::unexpected<Error>(errors.front());
        auto record = read(reader, errors);
        reader.finish();
        if (!errors.empty())
            return tl::unexpected<Error>(errors.front());
        return record;
    }

}

std::string writeConfigurationHead(const ConfigurationHead& head)
{
    JsonValue value = jsonObject();
    writeHead(value, head);
    return writeJson(value);
}

Result<ConfigurationHead> parseConfigurationHead(const std::string& text, const std::string& location)
{
    return parseRecord(text, location, [](ObjectReader& reader, std::vector<Error>&) { return readHead(reader); });
}

std::string writeConfigurationVersion(const ConfigurationVersion& version)
{
    JsonValue value = jsonObject();
    writeHead(value, version.head_);
    value.addMember("reason") <<= version.reason_;
    value.addMember("base") <<= version.base_;
    JsonValue& overlays = value.addMember("overlays");
    overlays.setCategory(JsonValue::Object);
    for (const auto& [dataCentre, overlay] : version.overlays_)
        overlays.addMember(dataCentre.value()) <<= overlay;
    return writeJson(value);
}

Result<ConfigurationVersion> parseConfigurationVersion(const std::string& text, const std::string& location)
{
    return parseRecord(text, location, [](ObjectReader& reader, std::vector<Error>& errors) {
        ConfigurationVersion version;
        version.head_ = readHead(reader);
        version.reason_ = readOptionalText(reader, "reason", maxReasonBytes);
        version.base_ = readOptionalText(reader, "base", maxContentBytes);
        version.overlays_ = readOverlays(reader, errors);
        return version;
    });
}

std::string writeConfigurationInForce(std::uint64_t version)
{
    JsonValue value = jsonObject();
    value.addMember("format") <<= configurationRecordFormat;
    value.addMember("version") <<= static_cast<std::int64_t>(version);
    return writeJson(value);
}

Result<std::uint64_t> parseConfigurationInForce(const std::string& text, const std::string& location)
{
    return parseRecord(text, location, [](ObjectReader& reader, std::vector<Error>&) {
        return static_cast<std::uint64_t>(reader.integer("version", 1, maxInteger));
    });
}

}
