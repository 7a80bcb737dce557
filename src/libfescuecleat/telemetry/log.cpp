#include "telemetry/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>
#include <log4cxx/patternlayout.h>
#include <memory>

namespace fescuecleat {

namespace {

    const char* const loggerPrefix = "fescuecleat.";
    const char* const textPattern = "%d{yyyy-MM-ddTHH:mm:ss.SSS} %-5p %c{1}: %m%n";

    bool& isJsonFormat()
    {
        static bool isJson = false;
        return isJson;
    }

    log4cxx::LayoutPtr makeLayout(LogFormat format)
    {
        if (format == LogFormat::Json)
            return std::make_shared<log4cxx::JSONLayout>();
        return std::make_shared<log4cxx::PatternLayout>(textPattern);
    }

    log4cxx::LevelPtr toLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warn:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            return log4cxx::Level::getError();
        }
        return log4cxx::Level::getInfo();
    }

    /** Formats a field value for a text line, quoted if it is empty or contains spaces, quotes, "=" or line breaks. */
    std::string formatFieldValue(const std::string& value)
    {
        if (!value.empty() && value.find_first_of(" =\"\n\r\t") == std::string::npos)
            return value;
        std::string quoted = "\"";
        for (const char c : value) {
            if (c == '"' || c == '\\')
                quoted += '\\';
            quoted += c == '\n' || c == '\r' ? ' ' : c;
        }
        return quoted + "\"";
    }

}

void setUpLog(const Settings& settings)
{
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(makeLayout(settings.logFormat_), log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(settings.logLevel_, log4cxx::Level::getInfo()));
    isJsonFormat() = settings.logFormat_ == LogFormat::Json;
}

void logStateChange(const std::string& component, const std::string& message, const std::vector<LogField>& fields, LogLevel level)
{
    const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(loggerPrefix + component);
    const log4cxx::LevelPtr logLevel = toLevel(level);
    if (!logger->isEnabledFor(logLevel))
        return;
    if (!isJsonFormat()) {
        std::string line = message;
        for (const LogField& field : fields)
            line += " " + field.name_ + "=" + formatFieldValue(field.value_);
        logger->log(logLevel, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
        return;
    }
    // The JSON layout writes the diagnostic context (MDC) as a separate object.
    for (const LogField& field : fields)
        log4cxx::MDC::put(field.name_, field.value_);
    logger->log(logLevel, message, log4cxx::spi::LocationInfo::getLocationUnavailable());
    log4cxx::MDC::clear();
}

}
