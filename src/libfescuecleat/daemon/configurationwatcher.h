#pragma once

#include "base/id.h"
#include "control/appliedconfiguration.h"
#include "control/configurationcontrol.h"
#include "settings/configuration.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace fescuecleat {

/** Merges base and overlay of a data centre and parses the result. Errors: every one that is found. */
Checked<Configuration> configurationOf(const ConfigurationVersion&, const DataCentreId&);

/**
 * Keeps the newest configuration in force in this instance: polls the version
 * row, loads what is newer, and never goes back. Thread-safe.
 */
class ConfigurationWatcher {
public:
    using Apply = std::function<void(std::uint64_t version, const Configuration&)>;

    /** The control outlives the watcher; `apply` is called by its thread. */
    ConfigurationWatcher(ConfigurationControl&, const DataCentreId&, Apply);
    ~ConfigurationWatcher();

    ConfigurationWatcher(const ConfigurationWatcher&) = delete;
    ConfigurationWatcher& operator=(const ConfigurationWatcher&) = delete;

    /** A peer or an operator told of a version; it is looked for at once. */
    void noteVersion(std::uint64_t version);

    /** The version in force here; 0 before the first. */
    std::uint64_t version() const;

    /** True once the table or a peer has told which version is the newest and it is in force. */
    bool isCurrent() const;

    /** The configuration in force; nullptr before the first. */
    std::shared_ptr<const Configuration> current() const;

private:
    void run();
    void poll();
    bool loadNewest(std::uint64_t version);

    ConfigurationControl& control_;
    const DataCentreId dataCentre_;
    const Apply apply_;

    mutable std::mutex mutex_;
    AppliedConfiguration applied_;
    std::shared_ptr<const Configuration> current_;
    bool isKnown_ = false;

    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

}
