#include "daemon/configurationwatcher.h"

#include "settings/configurationparser.h"
#include "settings/merge.h"
#include "telemetry/log.h"

#include <chrono>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr Duration pollInterval = std::chrono::milliseconds(500);
    constexpr Duration loopInterval = std::chrono::milliseconds(20);
    constexpr Duration storeTimeout = std::chrono::seconds(2);

}

ValidationResult<Configuration> parseMergedConfiguration(const ConfigurationVersion& version, const DataCentreId& dataCentre)
{
    Result<JsonValue> document = parseJson(version.base_, "base");
    if (!document)
        return tl::unexpected<std::vector<Error>>({ document.error() });
    const auto overlay = version.overlays_.find(dataCentre);
    if (overlay != version.overlays_.end()) {
        const Result<JsonValue> changes = parseJson(overlay->second, "overlay of " + dataCentre.value());
        if (!changes)
            return tl::unexpected<std::vector<Error>>({ changes.error() });
        replace(*document, merge(*document, *changes));
    }
    return parseConfiguration(*document);
}

ConfigurationWatcher::ConfigurationWatcher(ConfigurationControl& control, const DataCentreId& dataCentre, Apply apply)
    : control_(control)
    , dataCentre_(dataCentre)
    , apply_(std::move(apply))
    , thread_([this] { run(); })
{
}

ConfigurationWatcher::~ConfigurationWatcher()
{
    isStopping_ = true;
    thread_.join();
}

void ConfigurationWatcher::noteVersion(std::uint64_t version)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    applied_.noteVersion(version);
    isNewestKnown_ = true;
}

std::uint64_t ConfigurationWatcher::version() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return applied_.version();
}

bool ConfigurationWatcher::isCurrent() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return isNewestKnown_ && !applied_.isBehind();
}

std::shared_ptr<const Configuration> ConfigurationWatcher::current() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return current_;
}

void ConfigurationWatcher::run()
{
    Time nextPoll = monotonicNow();
    while (!isStopping_) {
        const Time now = monotonicNow();
        bool isBehind = false;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            isBehind = applied_.isBehind();
        }
        if (now >= nextPoll || isBehind) {
            poll();
            nextPoll = now + pollInterval;
        }
        std::this_thread::sleep_for(loopInterval);
    }
}

void ConfigurationWatcher::poll()
{
    const Result<ConfigurationHead> head = control_.head(monotonicNow() + storeTimeout);
    if (!head)
        return;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        applied_.noteVersion(head->version_);
        isNewestKnown_ = true;
        if (!applied_.isBehind())
            return;
    }
    loadNewest(head->version_);
}

bool ConfigurationWatcher::loadNewest(std::uint64_t version)
{
    const Result<ConfigurationVersion> loaded = control_.load(version, monotonicNow() + storeTimeout);
    if (!loaded)
        return false;
    const ValidationResult<Configuration> configuration = parseMergedConfiguration(*loaded, dataCentre_);
    if (!configuration) {
        logStateChange("configuration", "stored version is invalid", { { "version", std::to_string(version) }, { "error", describe(configuration.error().front()) } }, LogLevel::Error);
        return false;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!applied_.apply(version, ConfigurationSource::Table))
            return false;
        current_ = std::make_shared<const Configuration>(*configuration);
    }
    apply_(version, *configuration);
    logStateChange("configuration", "in force", { { "version", std::to_string(version) }, { "by", loaded->head_.by_ } });
    return true;
}

}
