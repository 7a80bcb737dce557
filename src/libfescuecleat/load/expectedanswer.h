#pragma once

#include <string>

namespace fescuecleat {

/** First line of a request's body, which identifies the request in logs; at most 64 bytes. */
std::string requestTag(const std::string& body);

/** Simulated work time in milliseconds from the line "work_ms=N"; -1 if there is none. */
long requestWorkMilliseconds(const std::string& body);

/**
 * The correct answer to a request. It depends on the request alone, so that the
 * audit detects wrong and truncated answers and answers to other requests.
 */
std::string expectedAnswer(const std::string& kind, const std::string& body);

}
