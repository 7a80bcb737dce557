#pragma once

#include "pool/jobpolicy.h"
#include "pool/pooljobspec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** The row that records an accepted job; inserted only if the job has none. */
struct JobIntake {
    JobPolicy policy_;
    PoolJobSpec spec_;
    /** Time of submission by the store's clock. */
    std::int64_t submittedMs_ = 0;
};

constexpr const char* intakeTable = "intake";
/**
 * The part of the intake table for a job's rows. The store serialises the
 * transactions of a part, so with a single part a slow store would delay all callers.
 */
std::string intakePartOf(const std::string& job);
/** All parts of the intake table. */
std::vector<std::string> intakeParts();
/** Key of the row that requests a job's cancellation. */
std::string cancelKey(const std::string& job);
/** The job that a cancel row belongs to; nothing if the key isn't that of a cancel row. */
std::optional<std::string> jobOfCancelKey(const std::string& key);

/** Encodes a cancel row; `atMs` is the time of the cancellation by the store's clock. */
std::string encodeCancellation(std::int64_t atMs);
/** The time of the cancellation; 0 if the row doesn't tell. */
std::int64_t cancelledAtMs(const std::string& text);

std::string encodeJobIntake(const JobIntake&);
/** Returns nothing if the text is malformed. */
std::optional<JobIntake> decodeJobIntake(const std::string& text);

}
