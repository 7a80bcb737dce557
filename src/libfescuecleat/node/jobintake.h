#pragma once

#include "pool/jobpolicy.h"
#include "pool/pooljobspec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** The row that makes a job accepted. Written once, under the condition that there is none. */
struct JobIntake {
    JobPolicy policy_;
    PoolJobSpec spec_;
    /** On the store's clock. */
    std::int64_t submittedMs_ = 0;
};

constexpr const char* intakeTable = "intake";
/**
 * The part of the table that a job's rows lie in. The store does transactions of
 * a part one after the other, so that one part would hold up all callers while it is slow.
 */
std::string intakePartOf(const std::string& job);
std::vector<std::string> intakeParts();
/** Key of the row that asks for a job's end. */
std::string cancelKey(const std::string& job);
/** The job of a cancel row's key. */
std::optional<std::string> jobOfCancelKey(const std::string& key);

std::string encodeJobIntake(const JobIntake&);
std::optional<JobIntake> decodeJobIntake(const std::string& text);

}
