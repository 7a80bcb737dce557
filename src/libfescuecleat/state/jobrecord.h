#pragma once

#include "base/id.h"
#include "base/result.h"
#include "scheduler/jobspec.h"
#include "state/jobstate.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** Durable state of a job. */
struct JobRecord {
    JobSpec spec_;
    JobState state_ = JobState::Submitted;
    DataCentreId dataCentre_;
    /** Number of placements so far, in all data centres. */
    int attempt_ = 0;
    /** Epoch of the scheduler lease under which the record was last written; 0 before the first write by a scheduler. */
    std::uint64_t epoch_ = 0;
    /** Number of writes of the record, which distinguishes successive writes of equal content. */
    std::uint64_t changeCount_ = 0;
    /** Workers of the gang by task index; empty unless the job is placed. */
    std::vector<WorkerId> placement_;
    /** Consecutive failed attempts; a new lease holder continues the count. */
    int failures_ = 0;
    /** Share of the work saved in a checkpoint, 0 to 1. */
    double checkpointedShare_ = 0;
    /** Human-readable reason of the state; may be empty. */
    std::string reason_;
    /** Wall clock in milliseconds since 1970. Used for display, ageing and retention; no safety decision may depend on it. */
    std::int64_t submittedAtMs_ = 0;
    /** Wall clock in milliseconds since 1970; 0 until the job ends. */
    std::int64_t endedAtMs_ = 0;
    /** Wall clock in milliseconds since 1970 at which the caller had received the final state completely; 0 until then. */
    std::int64_t deliveredAtMs_ = 0;

    bool operator==(const JobRecord& other) const
    {
        return std::tie(spec_, state_, dataCentre_, attempt_, epoch_, changeCount_, placement_, failures_, checkpointedShare_, reason_, submittedAtMs_, endedAtMs_, deliveredAtMs_)
            == std::tie(other.spec_, other.state_, other.dataCentre_, other.attempt_, other.epoch_, other.changeCount_, other.placement_, other.failures_, other.checkpointedShare_, other.reason_, other.submittedAtMs_, other.endedAtMs_, other.deliveredAtMs_);
    }
    bool operator!=(const JobRecord& other) const { return !(*this == other); }
};

/** Format version of the job records written by this program, which reads versions 1 up to this one. */
constexpr int jobRecordFormat = 1;

/** The record as a JSON object, as stored in rows and snapshots. */
JsonValue writeJobRecord(const JobRecord&);
std::string writeJobRecordText(const JobRecord&);

/** Errors: those of ObjectReader; Unsupported for a newer format. */
Result<JobRecord> parseJobRecord(const JsonValue&, const std::string& location);
Result<JobRecord> parseJobRecordText(const std::string& text, const std::string& location);

/** The share clamped to 0 to 1 and rounded to millionths, as a record stores it. */
double roundToMillionths(double share);

/** Canonical text of the requested work, without id and idempotency key; equal for equal requests and only for these. */
std::string submissionFingerprint(const JobSpec&);

}
