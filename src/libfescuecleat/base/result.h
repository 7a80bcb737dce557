#pragma once

#include "base/error.h"

#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace fescuecleat {

/** A value or an error. */
template <typename Value>
using Result = tl::expected<Value, Error>;

/** A value, or all errors found while validating its input. */
template <typename Value>
using ValidationResult = tl::expected<Value, std::vector<Error>>;

/** Creates the error value of a Result. */
inline tl::unexpected<Error> failure(ErrorKind kind, std::string message, std::string remedy, std::string location = {})
{
    return tl::unexpected<Error>(Error { kind, std::move(message), std::move(remedy), std::move(location) });
}

}
