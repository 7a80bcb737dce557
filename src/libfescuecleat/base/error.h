#pragma once

#include "base/errorkind.h"

#include <string>
#include <tuple>

namespace fescuecleat {

/** A typed error: what happened, where, and what the reader can do about it. */
struct Error {
    ErrorKind kind_ = ErrorKind::Internal;
    /** What happened, one sentence without a final stop. */
    std::string message_;
    /** What to do, one sentence without a final stop. */
    std::string remedy_;
    /** File, line or member path of the offending input; empty if there is none. */
    std::string location_;

    bool operator==(const Error& other) const
    {
        return std::tie(kind_, message_, remedy_, location_)
            == std::tie(other.kind_, other.message_, other.remedy_, other.location_);
    }
    bool operator!=(const Error& other) const { return !(*this == other); }
};

/** One line for people: "location: message; remedy [kind]". */
std::string describe(const Error&);

}
