#pragma once

#include <string>

namespace fescuecleat {

/** The first line of a request's body, which names it in logs; at most 64 bytes. */
std::string requestTag(const std::string& body);

/** Time that a minion is to work on the request, from a line "work_ms=N"; -1 if there is none. */
long requestWorkMilliseconds(const std::string& body);

/**
 * The one right answer to a request. It follows from the request alone, so that
 * a wrong, partial or exchanged answer is told apart by whoever knows the request.
 */
std::string expectedAnswer(const std::string& kind, const std::string& body);

}
