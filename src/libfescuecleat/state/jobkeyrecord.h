#pragma once

#include "base/id.h"
#include "base/result.h"

#include <string>
#include <tuple>

namespace fescuecleat {

/** What an idempotency key of an organisation stands for. */
struct JobKeyRecord {
    JobId job_;
    /** Data centre of the submission; the job may have moved since. */
    DataCentreId dataCentre_;
    /** Hash of what was asked for, in hexadecimal. */
    std::string requestHash_;

    bool operator==(const JobKeyRecord& other) const
    {
        return std::tie(job_, dataCentre_, requestHash_) == std::tie(other.job_, other.dataCentre_, other.requestHash_);
    }
};

/** Format of key records that this program writes. */
constexpr int jobKeyRecordFormat = 1;

std::string writeJobKeyRecord(const JobKeyRecord&);
Result<JobKeyRecord> parseJobKeyRecord(const std::string& text, const std::string& location);

/** BLAKE2b of a text, in hexadecimal. */
std::string hashText(const std::string&);

}
