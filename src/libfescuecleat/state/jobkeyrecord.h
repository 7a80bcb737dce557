#pragma once

#include "base/id.h"
#include "base/result.h"

#include <string>
#include <tuple>

namespace fescuecleat {

/** Stored mapping of an organisation's idempotency key to its job. */
struct JobKeyRecord {
    JobId job_;
    /** Data centre of the submission; the job may have moved since then. */
    DataCentreId dataCentre_;
    /** Hash of the submission fingerprint, in hexadecimal. */
    std::string requestHash_;

    bool operator==(const JobKeyRecord& other) const
    {
        return std::tie(job_, dataCentre_, requestHash_) == std::tie(other.job_, other.dataCentre_, other.requestHash_);
    }
};

/** Format version of the key records written by this program. */
constexpr int jobKeyRecordFormat = 1;

std::string writeJobKeyRecord(const JobKeyRecord&);
Result<JobKeyRecord> parseJobKeyRecord(const std::string& text, const std::string& location);

/** 128-bit BLAKE2b hash in hexadecimal. */
std::string hashText(const std::string&);

}
