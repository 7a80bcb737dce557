#pragma once

#include "base/error.h"

#include <tl/expected.hpp>

namespace fescuecleat {

/** A value or a typed error. */
template <typename Value>
using Result = tl::expected<Value, Error>;

/** Shorthand for returning an error from a function that returns a Result. */
inline tl::unexpected<Error> failure(ErrorKind kind, std::string message, std::string remedy, std::string location = {})
{
    return tl::unexpected<Error>(Error { kind, std::move(message), std::move(remedy), std::move(location) });
}

}
