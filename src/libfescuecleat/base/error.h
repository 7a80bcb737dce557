#pragma once

#include "base/errorkind.h"

#include <string>
#include <tuple>

namespace fescuecleat {

/** An error with its kind, the input that caused it, and how to correct it. */
struct Error {
    ErrorKind kind_ = ErrorKind::Internal;
    /** What went wrong: one sentence without a full stop at the end. */
    std::string message_;
    /** How to correct it: one sentence without a full stop at the end. */
    std::string remedy_;
    /** File, line or member path of the offending input; empty if not applicable. */
    std::string location_;

    bool operator==(const Error& other) const
    {
        return std::tie(kind_, message_, remedy_, location_)
            == std::tie(other.kind_, other.message_, other.remedy_, other.location_);
    }
    bool operator!=(const Error& other) const { return !(*this == other); }
};

/** Formats an error as one line: "location: message; remedy [kind]". */
std::string describe(const Error&);

}
