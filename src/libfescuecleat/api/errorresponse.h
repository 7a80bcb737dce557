#pragma once

#include "base/error.h"
#include "http/httpmessage.h"
#include "json/json.h"

#include <vector>

namespace fescuecleat {

/** The HTTP status that an error of this kind is answered with. */
int httpStatus(ErrorKind);

/** {"kind", "message", "remedy"} and "location" if there is one. */
JsonValue toJson(const Error&);

/** An answer with the error as JSON; Retry-After tells when to come back if that may help. */
HttpResponse writeError(const Error&);

/** The first error's answer, with all of them in "errors". */
HttpResponse writeErrors(const std::vector<Error>&);

/** A 200 or other good answer with a JSON body. */
HttpResponse writeAnswer(const JsonValue&, int status = 200);

}
