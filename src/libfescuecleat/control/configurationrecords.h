#pragma once

#include "base/id.h"
#include "base/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace fescuecleat {

/** Version, author and time of a configuration, without its content. Every instance polls the row of the newest one. */
struct ConfigurationHead {
    /** Counts from 1; 0 if there is no configuration. */
    std::uint64_t version_ = 0;
    /** Operator who made the change. */
    std::string by_;
    /** Wall clock in milliseconds since 1970; only displayed. */
    std::int64_t changedAt_ = 0;

    bool operator==(const ConfigurationHead& other) const { return std::tie(version_, by_, changedAt_) == std::tie(other.version_, other.by_, other.changedAt_); }
};

/** One configuration version with its content. Immutable once written. */
struct ConfigurationVersion {
    ConfigurationHead head_;
    std::string reason_;
    /** Text of the base file as submitted, with its comments. */
    std::string base_;
    /** Text of the overlay of each data centre that has one. */
    std::map<DataCentreId, std::string> overlays_;

    bool operator==(const ConfigurationVersion& other) const { return std::tie(head_, reason_, base_, overlays_) == std::tie(other.head_, other.reason_, other.base_, other.overlays_); }
};

/** Format number of configuration rows. */
constexpr int configurationRecordFormat = 1;

std::string writeConfigurationHead(const ConfigurationHead&);
Result<ConfigurationHead> parseConfigurationHead(const std::string& text, const std::string& location);

std::string writeConfigurationVersion(const ConfigurationVersion&);
Result<ConfigurationVersion> parseConfigurationVersion(const std::string& text, const std::string& location);

std::string writeConfigurationInForce(std::uint64_t version);
Result<std::uint64_t> parseConfigurationInForce(const std::string& text, const std::string& location);

}
