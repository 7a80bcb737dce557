#pragma once

#include "base/id.h"
#include "base/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace fescuecleat {

/** The newest configuration, without its content. Its row is polled by every instance. */
struct ConfigurationHead {
    /** Counts the accepted configurations from 1; 0: there is none. */
    std::uint64_t version_ = 0;
    std::string by_;
    /** Wall clock in milliseconds since 1970, for people. */
    std::int64_t changedAt_ = 0;

    bool operator==(const ConfigurationHead& other) const { return std::tie(version_, by_, changedAt_) == std::tie(other.version_, other.by_, other.changedAt_); }
};

/** One accepted configuration. Never changes once it is written. */
struct ConfigurationVersion {
    ConfigurationHead head_;
    std::string reason_;
    /** The base file as the operator wrote it. */
    std::string base_;
    /** The overlay of each data centre that has one. */
    std::map<DataCentreId, std::string> overlays_;

    bool operator==(const ConfigurationVersion& other) const { return std::tie(head_, reason_, base_, overlays_) == std::tie(other.head_, other.reason_, other.base_, other.overlays_); }
};

/** Format of the configuration rows that this program writes. */
constexpr int configurationRecordFormat = 1;

std::string writeConfigurationHead(const ConfigurationHead&);
Result<ConfigurationHead> parseConfigurationHead(const std::string& text, const std::string& location);

std::string writeConfigurationVersion(const ConfigurationVersion&);
Result<ConfigurationVersion> parseConfigurationVersion(const std::string& text, const std::string& location);

std::string writeConfigurationInForce(std::uint64_t version);
Result<std::uint64_t> parseConfigurationInForce(const std::string& text, const std::string& location);

}
