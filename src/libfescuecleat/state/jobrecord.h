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

/** What is durable of a job. */
struct JobRecord {
    JobSpec spec_;
    JobState state_ = JobState::Submitted;
    DataCentreId dataCentre_;
    /** Placements that were made, in any data centre. */
    int attempt_ = 0;
    /** Epoch of the scheduler lease under which the record was written last; 0 before the first. */
    std::uint64_t epoch_ = 0;
    /** Counts the writes of the record, so that two of the same content are told apart. */
    std::uint64_t change_ = 0;
    /** Workers of the gang by task index; empty unless placed. */
    std::vector<WorkerId> placement_;
    /** Attempts that failed in a row; a successor counts on from here. */
    int failures_ = 0;
    /** Share of the work that a checkpoint holds, 0 to 1. */
    double checkpointedShare_ = 0;
    /** Why, for people; empty if plain. */
    std::string reason_;
    /** Wall clock in milliseconds since 1970; for people, ageing and retention, never for safety. */
    std::int64_t submittedAt_ = 0;
    /** Wall clock of the end in milliseconds since 1970; 0 until then. */
    std::int64_t endedAt_ = 0;
    /** Wall clock in milliseconds since 1970 at which the caller had the final state wholly; 0 until then. */
    std::int64_t deliveredAt_ = 0;

    bool operator==(const JobRecord& other) const
    {
        return std::tie(spec_, state_, dataCentre_, attempt_, epoch_, change_, placement_, failures_, checkpointedShare_, reason_, submittedAt_, endedAt_, deliveredAt_)
            == std::tie(other.spec_, other.state_, other.dataCentre_, other.attempt_, other.epoch_, other.change_, other.placement_, other.failures_, other.checkpointedShare_, other.reason_, other.submittedAt_, other.endedAt_, other.deliveredAt_);
    }
    bool operator!=(const JobRecord& other) const { return !(*this == other); }
};

/** Format of job records that this program writes. It reads every format from 1 to this one. */
constexpr int jobRecordFormat = 1;

/** The record as JSON object, as rows and snapshots hold it. */
JsonValue writeJobRecord(const JobRecord&);
std::string writeJobRecordText(const JobRecord&);

/** Errors: those of ObjectReader; Unsupported for a newer format. */
Result<JobRecord> parseJobRecord(const JsonValue&, const std::string& location);
Result<JobRecord> parseJobRecordText(const std::string& text, const std::string& location);

/** The share as a record can hold it: from 0 to 1, in millionths. */
double recordedShare(double share);

/** Text that is equal exactly for submissions that ask for the same; id and key are left out. */
std::string submissionFingerprint(const JobSpec&);

}
