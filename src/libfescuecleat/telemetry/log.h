#pragma once

#include "settings/settings.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** A name and value added to a log line. */
struct LogField {
    std::string name_;
    std::string value_;
};

/** Severity of a log line. */
enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/** Configures logging to standard error with the format and level of the settings. Call once, before starting threads. */
void setUpLog(const Settings&);

/**
 * Logs a state change. Frequent events are counted in metrics instead. Fields
 * become members of the JSON object or follow the message as name=value.
 */
void logStateChange(const std::string& component, const std::string& message, const std::vector<LogField>& fields = {}, LogLevel = LogLevel::Info);

}
