#pragma once

#include "http/httpmessage.h"

#include <cstddef>
#include <string>

namespace fescuecleat::standins {

/** Whether a buffer holds a complete request. */
enum class ParseState {
    Incomplete,
    Complete,
    Invalid,
};

struct ParsedRequest {
    ParseState state_ = ParseState::Incomplete;
    HttpRequest request_;
    /** Size of the request in the buffer. */
    std::size_t sizeBytes_ = 0;
};

/** Parses the first request of a buffer. Supports bodies with a Content-Length only, since no client of a stand-in sends others. */
ParsedRequest parseRequest(const std::string& buffer);

/** Returns the response as it is sent. */
std::string responseText(const HttpResponse&);

}
