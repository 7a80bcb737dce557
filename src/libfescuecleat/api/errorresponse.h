#pragma once

#include "base/error.h"
#include "http/httpmessage.h"
#include "json/json.h"

#include <vector>

namespace fescuecleat {

/** The HTTP status of responses with an error of this kind. */
int httpStatus(ErrorKind);

/** Writes {"kind", "message", "remedy"}, and "location" if the error has one. */
JsonValue toJson(const Error&);

/** A response with the error as JSON, and with Retry-After if the error is transient. */
HttpResponse writeError(const Error&);

/** The response for the first error, with all errors in "errors". */
HttpResponse writeErrors(const std::vector<Error>&);

/** A response with a JSON body. */
HttpResponse writeAnswer(const JsonValue&, int status = 200);

}
