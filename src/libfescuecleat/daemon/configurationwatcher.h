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

/** Merges the base with the overlay of a data centre and parses the result. Returns all errors found. */
ValidationResult<Configuration> parseMergedConfiguration(const ConfigurationVersion&, const DataCentreId&);

/**
 * Keeps the newest configuration in force in this instance: polls the version
 * row and loads newer versions. The version never decreases. Thread-safe.
 */
class ConfigurationWatcher {
public:
    using Apply = std::function<void(std::uint64_t version, const Configuration&)>;

    /** The control must outlive the watcher; `apply` is called from the watcher's thread. */
    ConfigurationWatcher(ConfigurationControl&, const DataCentreId&, Apply);
    ~ConfigurationWatcher();

    ConfigurationWatcher(const ConfigurationWatcher&) = delete;
    ConfigurationWatcher& operator=(const ConfigurationWatcher&) = delete;

    /** Records that a version exists, as learnt from a peer or an operator, and loads it at once if it is newer. */
    void noteVersion(std::uint64_t version);

    /** The version in force in this instance; 0 before the first. */
    std::uint64_t version() const;

    /** True if the newest version is known, from the table or a peer, and in force. */
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
    bool isNewestKnown_ = false;

    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

}
