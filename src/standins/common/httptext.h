#pragma once

#include "http/httpmessage.h"

#include <cstddef>
#include <string>

namespace fescuecleat::standins {

/** Whether a buffer holds a whole request. */
enum class ParseState {
    Incomplete,
    Complete,
    Invalid,
};

struct ParsedRequest {
    ParseState state_ = ParseState::Incomplete;
    HttpRequest request_;
    /** Bytes of the buffer that the request takes. */
    std::size_t length_ = 0;
};

/** Reads one request with a Content-Length; stand-ins need no more of HTTP. */
ParsedRequest parseRequest(const std::string& buffer);

/** The bytes of an answer. */
std::string responseText(const HttpResponse&);

}
