#include "api/configurationsubmission.h"

#include "settings/configurationparser.h"
#include "settings/memberreaders.h"
#include "settings/merge.h"
#include "json/objectreader.h"

#include <algorithm>
#include <limits>

namespace fescuecleat {

namespace {

    constexpr std::size_t maxAuthorBytes = 64;

    /** A copy without a member name. */
    JsonValue unnamed(const JsonValue& value)
    {
        JsonValue copy = value;
        copy.setName({});
        return copy;
    }

}

ValidationResult<ConfigurationSubmission> parseConfigurationSubmission(const JsonValue& value)
{
    std::vector<Error> errors;
    ObjectReader reader(value, {}, errors);
    ConfigurationSubmission submission;
    submission.expectedVersion_ = static_cast<std::uint64_t>(reader.integer("expected_version", 0, std::numeric_limits<std::int64_t>::max()));
    submission.who_ = reader.string("who", maxAuthorBytes);
    const JsonValue* base = reader.object("base");
    if (base)
        submission.base_ = unnamed(*base);
    const JsonValue* overlays = reader.object("overlays");
    if (overlays) {
        for (const JsonValue& overlay : *overlays) {
            const std::string path = "overlays." + overlay.name();
            checkName(overlay.name(), path, errors);
            if (overlay.category() != JsonValue::Object)
                errors.push_back({ ErrorKind::WrongType, "overlay is not an object", "write an object in braces", path });
            submission.overlays_.emplace(DataCentreId(overlay.name()), unnamed(overlay));
        }
        if (submission.overlays_.empty())
            reader.report(ErrorKind::MissingMember, "there are no overlays", "add an overlay for each data centre, {} if it has no differences", "overlays");
    }
    reader.finish();
    if (!errors.empty())
        return tl::make_unexpected(std::move(errors));
    return submission;
}

JsonValue toJson(const ConfigurationSubmission& submission)
{
    JsonValue value = jsonObject();
    value.addValue("expected_version", submission.expectedVersion_);
    value.addValue("who", submission.who_);
    JsonValue& base = value.addMember("base");
    base = submission.base_;
    base.setName("base");
    JsonValue& overlays = value.addMember("overlays");
    overlays.setCategory(JsonValue::Object);
    for (const auto& [dataCentre, overlay] : submission.overlays_) {
        JsonValue& member = overlays.addMember(dataCentre.value());
        member = overlay;
        member.setName(dataCentre.value());
    }
    return value;
}

ValidationResult<std::map<DataCentreId, Configuration>> parseDeployment(const JsonValue& base, const std::map<DataCentreId, JsonValue>& overlays, const std::vector<DataCentreId>& dataCentres)
{
    std::map<DataCentreId, Configuration> configurations;
    std::vector<Error> errors;
    for (const auto& overlay : overlays) {
        if (std::find(dataCentres.begin(), dataCentres.end(), overlay.first) == dataCentres.end())
            errors.push_back({ ErrorKind::UnknownReference, "unknown data centre \"" + overlay.first.value() + "\"", "use one of the data_centres in the settings", "overlays." + overlay.first.value() });
    }
    for (const DataCentreId& dataCentre : dataCentres) {
        const auto overlay = overlays.find(dataCentre);
        ValidationResult<Configuration> configuration = parseConfiguration(overlay == overlays.end() ? base : merge(base, overlay->second));
        if (configuration) {
            configurations.emplace(dataCentre, std::move(*configuration));
            continue;
        }
        for (Error& error : configuration.error()) {
            error.location_ = dataCentre.value() + ": " + error.location_;
            errors.push_back(std::move(error));
        }
    }
    if (!errors.empty())
        return tl::make_unexpected(std::move(errors));
    return configurations;
}

}
