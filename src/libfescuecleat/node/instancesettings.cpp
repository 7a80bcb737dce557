#include "node/instancesettings.h"

#include <nlohmann/json.hpp>

namespace fescuecleat {

namespace {

    using Json = nlohmann::json;

    /** A job's specification alone may have some thousand bytes. */
    constexpr std::int64_t minRowBytes = 1024;

    SocketAddress readSocketAddress(const Json& json, const char* name)
    {
        const auto parsed = parseSocketAddress(json.at(name).get<std::string>());
        if (!parsed)
            throw Json::other_error::create(500, std::string(name) + ": " + parsed.error().message_, &json);
        return *parsed;
    }

    constexpr std::int64_t maxMemoryMb = 1 << 20;
    /** A run with its unit of work and its stored record. */
    constexpr std::size_t bytesPerRun = 2048;
    /** Part of the memory that runs may take: the next lease holder may be an instance with a quarter of it. */
    constexpr std::size_t runMemoryDivisor = 8;

    constexpr double maxSeconds = 3600;
    /** Ended jobs are kept for 30 days at most. */
    constexpr double maxEndedJobSeconds = 30 * 86400;

    Duration readSeconds(const Json& json, const char* name, double max = maxSeconds)
    {
        const double seconds = json.at(name).get<double>();
        if (!(seconds > 0) || seconds > max)
            throw Json::other_error::create(500, std::string(name) + " must be above 0 and at most " + std::to_string(static_cast<std::int64_t>(max)) + " seconds", &json);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    std::optional<StopCosts> readStopCosts(const Json& json)
    {
        if (!json.contains("taskStopSeconds") || !json.contains("restoreSeconds"))
            return std::nullopt;
        StopCosts costs;
        costs.stop_ = readSeconds(json, "taskStopSeconds");
        costs.restore_ = readSeconds(json, "restoreSeconds");
        if (json.contains("checkpointSeconds"))
            costs.checkpointInterval_ = readSeconds(json, "checkpointSeconds");
        if (json.contains("gangWaitSeconds"))
            costs.gangWait_ = readSeconds(json, "gangWaitSeconds");
        return costs;
    }

    std::size_t readRowBytes(const Json& json, const char* name)
    {
        const auto bytes = json.at(name).get<std::int64_t>();
        if (bytes < minRowBytes)
            throw Json::other_error::create(500, std::string(name) + " must be at least " + std::to_string(minRowBytes), &json);
        return static_cast<std::size_t>(bytes);
    }

}

std::size_t InstanceSettings::runLimit() const
{
    return static_cast<std::size_t>(memoryMb_) * 1024 * 1024 / runMemoryDivisor / bytesPerRun;
}

Result<InstanceSettings> parseInstanceSettings(const std::string& text)
{
    try {
        const Json json = Json::parse(text, nullptr, true, true);
        InstanceSettings settings;
        settings.instance_ = json.at("instance").get<std::string>();
        settings.dataCentre_ = json.at("dataCentre").get<std::string>();
        settings.callers_ = readSocketAddress(json, "callers");
        settings.readiness_ = readSocketAddress(json, "readiness");
        settings.peers_ = readSocketAddress(json, "peers");
        settings.store_ = readSocketAddress(json, "store");
        if (json.contains("storeRowBytes"))
            settings.storeLimits_.rowBytes_ = readRowBytes(json, "storeRowBytes");
        settings.processorShare_ = json.value("processorShare", 1.0);
        settings.memoryMb_ = json.value("memoryMb", settings.memoryMb_);
        if (settings.memoryMb_ < 1 || settings.memoryMb_ > maxMemoryMb)
            throw Json::other_error::create(500, "memoryMb must be from 1 to " + std::to_string(maxMemoryMb), &json);
        settings.maxWorkerLease_ = readSeconds(json, "maxWorkerLeaseSeconds");
        settings.revocationLimit_ = readSeconds(json, "revocationLimitSeconds");
        if (json.contains("guaranteeLimitSeconds"))
            settings.guaranteeLimit_ = readSeconds(json, "guaranteeLimitSeconds");
        settings.stopCosts_ = readStopCosts(json);
        if (json.contains("submissionWindowSeconds"))
            settings.submissionWindow_ = readSeconds(json, "submissionWindowSeconds");
        if (json.contains("maxRequestDelaySeconds"))
            settings.maxRequestDelay_ = readSeconds(json, "maxRequestDelaySeconds");
        if (json.contains("endedJobSeconds"))
            settings.endedJobTime_ = readSeconds(json, "endedJobSeconds", maxEndedJobSeconds);
        for (const auto& [name, limit] : { std::pair { "drainLimitSeconds", &settings.drainLimit_ }, { "closureLimitSeconds", &settings.closureLimit_ }, { "cancelLimitSeconds", &settings.cancelLimit_ } }) {
            if (json.contains(name))
                *limit = readSeconds(json, name);
        }
        if (json.contains("overloadOrder"))
            settings.usesOverloadOrder_ = json.at("overloadOrder").get<bool>();
        if (json.contains("admission"))
            settings.refusesHopelessJobs_ = json.at("admission").get<bool>();
        settings.stopLimit_ = readSeconds(json, "stopLimitSeconds");
        return settings;
    } catch (const Json::exception& error) {
        return failure(ErrorKind::InvalidSyntax, std::string("the settings can't be read: ") + error.what(), "correct the named member");
    }
}

}
