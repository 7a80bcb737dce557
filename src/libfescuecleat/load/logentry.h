#pragma once

#include "base/result.h"
#include "base/time.h"
#include "json/json.h"

#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** Kind of stand-in that a log came from. */
enum class LogSource {
    Platform,
    Worker,
    Minion,
};

/** One entry of a stand-in's log. */
struct LogEntry {
    LogSource source_ = LogSource::Worker;
    std::string dataCentre_;
    /** Worker or minion. */
    std::string instance_;
    std::string event_;
    /** The machine's monotonic clock, which the load tool shares. */
    Time at_ { Duration::zero() };
    std::map<std::string, std::string> fields_;

    /** A field's text; empty if it isn't there. */
    std::string field(const std::string& name) const;
    int number(const std::string& name) const;
};

/** The entries of one GET /log. */
struct LogPage {
    std::vector<LogEntry> entries_;
    /** Where the next page begins. */
    std::uint64_t next_ = 0;
    /** Entries that the stand-in has dropped; an audit without them proves nothing. */
    std::uint64_t dropped_ = 0;
};

/** Parses the answer of GET /log. */
Result<LogPage> parseLogPage(const std::string& text, LogSource, const std::string& dataCentre);

/** One line for people. */
std::string describe(const LogEntry&);

}
