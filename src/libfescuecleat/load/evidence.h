#pragma once

#include "base/time.h"
#include "load/logentry.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** Outcome of a request as seen by its caller. */
enum class SentOutcome {
    Answered,
    NotRun,
    Unknown,
    /** The connection was closed before an answer arrived. */
    Cut,
    /** Any other refusal, such as for a wrong key, or no instance could be reached. */
    Refused,
};

/** Name of an outcome as used in measures. */
const char* sentOutcomeName(SentOutcome);

/** A request sent by the tool and its outcome. */
struct SentRequest {
    std::string tag_;
    std::string kind_;
    std::string body_;
    bool isIdempotent_ = true;
    std::string organisation_;
    /** Caller address of the instance it was last sent to. */
    std::string entry_;
    /** Scheduled and actual send times, and the time when the outcome was known. */
    Time intendedAt_ { Duration::zero() };
    Time sentAt_ { Duration::zero() };
    Time endedAt_ { Duration::zero() };
    Time deadline_ = Time::max();
    SentOutcome outcome_ = SentOutcome::Unknown;
    std::string answer_;
};

/** A job submitted by the tool. */
struct SentJob {
    std::string tag_;
    /** Empty if the job was not accepted. */
    std::string jobId_;
    int tasks_ = 1;
    int accelerators_ = 1;
    bool isIdempotent_ = true;
    bool isUrgent_ = false;
    bool wasCancelled_ = false;
    std::string organisation_;
    Time intendedAt_ { Duration::zero() };
    Time endedAt_ { Duration::zero() };
    /** Last reported state; "missing" if an accepted job is no longer known. */
    std::string state_;
    std::string reason_;
};

/** A data centre that was taken out of service. */
struct TakenOutDataCentre {
    std::string dataCentre_;
    Time requestedAt_ { Duration::zero() };
    /** When the status was reported as done; max if never. */
    Time doneAt_ = Time::max();
    /** When its return to service was requested; max if never. */
    Time returnedAt_ = Time::max();
    /** Deadline for running work. */
    Time deadline_ = Time::max();
};

/** A configuration version reported as accepted. */
struct AcceptedConfiguration {
    std::int64_t version_ = 0;
    Time requestedAt_ { Duration::zero() };
    Time acceptedAt_ { Duration::zero() };
};

/** The version in force as reported by an instance. */
struct ReportedConfiguration {
    std::string instance_;
    std::int64_t version_ = 0;
    Time requestedAt_ { Duration::zero() };
};

/** A planned stop of an instance. */
struct PlannedStop {
    /** Caller address of the instance. */
    std::string entry_;
    Time requestedAt_ { Duration::zero() };
    Time endedAt_ = Time::max();
};

/** Input of an audit. */
struct Evidence {
    std::vector<SentRequest> requests_;
    std::vector<SentJob> jobs_;
    std::vector<TakenOutDataCentre> takenOutDataCentres_;
    std::vector<AcceptedConfiguration> acceptedConfigurations_;
    std::vector<ReportedConfiguration> reportedConfigurations_;
    std::vector<PlannedStop> plannedStops_;
    /** Sorted by time. */
    std::vector<LogEntry> log_;
    std::uint64_t droppedLogEntries_ = 0;
};

}
