#pragma once

#include "base/result.h"
#include "base/time.h"
#include "json/json.h"

#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** Kind of stand-in that wrote a log. */
enum class LogSource {
    Platform,
    Worker,
    Minion,
};

/** One entry of a stand-in's log. */
struct LogEntry {
    LogSource source_ = LogSource::Worker;
    std::string dataCentre_;
    /** Name of the worker or minion. */
    std::string instance_;
    std::string event_;
    /** Monotonic clock; stand-ins and load tool must run on the same machine. */
    Time at_ { Duration::zero() };
    std::map<std::string, std::string> fields_;

    /** Value of a field; empty if it doesn't exist. */
    std::string field(const std::string& name) const;
    /** Value of a numeric field; 0 if it doesn't exist. */
    int number(const std::string& name) const;
};

/** Response to GET /log. */
struct LogPage {
    std::vector<LogEntry> entries_;
    /** Sequence number at which the next page begins. */
    std::uint64_t next_ = 0;
    /** Number of entries dropped by the stand-in; an audit without them is inconclusive. */
    std::uint64_t dropped_ = 0;
};

/** Parses the response to GET /log. Errors: InvalidSyntax, MissingMember. */
Result<LogPage> parseLogPage(const std::string& text, LogSource, const std::string& dataCentre);

/** Formats an entry as one line of text. */
std::string describe(const LogEntry&);

}
