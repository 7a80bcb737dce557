#pragma once

#include "settings/settings.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** A named value of a log line. */
struct LogField {
    std::string name_;
    std::string value_;
};

enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/** Sends log lines to standard error as text or JSON, from the settings' level up. Once, before any thread. */
void setUpLog(const Settings&);

/**
 * Logs a change of state; whatever happens often is counted instead. Fields
 * become members of a JSON line or follow the message as name=value.
 */
void logStateChange(const std::string& component, const std::string& message, const std::vector<LogField>& fields = {}, LogLevel = LogLevel::Info);

}
