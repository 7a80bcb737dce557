#pragma once

#include "base/time.h"
#include "load/logentry.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** How a request ended, as its caller saw it. */
enum class SentOutcome {
    Answered,
    NotRun,
    Unknown,
    /** The connection broke before an answer. */
    Cut,
    /** A refusal of another kind, such as a wrong key. */
    Refused,
};

/** Stable name of an outcome. */
const char* sentOutcomeName(SentOutcome);

/** A request that the tool sent, and how it ended. */
struct SentRequest {
    std::string tag_;
    std::string kind_;
    std::string body_;
    bool isIdempotent_ = true;
    std::string organisation_;
    /** Caller address of the instance that took it. */
    std::string entry_;
    /** When it was to be sent, when it was, and when its end was known. */
    Time intended_ { Duration::zero() };
    Time sent_ { Duration::zero() };
    Time ended_ { Duration::zero() };
    Time deadline_ = Time::max();
    SentOutcome outcome_ = SentOutcome::Unknown;
    std::string answer_;
};

/** A job that the tool submitted. */
struct SentJob {
    std::string tag_;
    /** Empty: it was not accepted. */
    std::string job_;
    int tasks_ = 1;
    int accelerators_ = 1;
    bool isIdempotent_ = true;
    bool isUrgent_ = false;
    bool wasCancelled_ = false;
    std::string organisation_;
    Time intended_ { Duration::zero() };
    Time ended_ { Duration::zero() };
    /** Newest state that was seen; "missing" if it was accepted and isn't known any more. */
    std::string state_;
    std::string reason_;
};

/** A data centre that operators took out. */
struct TakenOut {
    std::string dataCentre_;
    Time asked_ { Duration::zero() };
    /** When 'done' was answered; max: never. */
    Time done_ = Time::max();
    /** When the return was asked for; max: never. */
    Time returned_ = Time::max();
    /** When running work is to have ended. */
    Time deadline_ = Time::max();
};

/** A configuration that operators were told is accepted. */
struct AcceptedConfiguration {
    std::int64_t version_ = 0;
    Time asked_ { Duration::zero() };
    Time accepted_ { Duration::zero() };
};

/** The version in force that an instance showed. */
struct ShownConfiguration {
    std::string instance_;
    std::int64_t version_ = 0;
    Time asked_ { Duration::zero() };
};

/** A planned stop of an instance. */
struct PlannedStop {
    /** Its caller address. */
    std::string entry_;
    Time asked_ { Duration::zero() };
    Time ended_ = Time::max();
};

/** All that an audit looks at. */
struct Evidence {
    std::vector<SentRequest> requests_;
    std::vector<SentJob> jobs_;
    std::vector<TakenOut> takenOut_;
    std::vector<AcceptedConfiguration> accepted_;
    std::vector<ShownConfiguration> shown_;
    std::vector<PlannedStop> stops_;
    /** In order of time. */
    std::vector<LogEntry> log_;
    std::uint64_t droppedLogEntries_ = 0;
};

}
