#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/httpclient.h"
#include "json/json.h"

#include <algorithm>
#include <string>

namespace fescuecleat {

/** Client of a daemon's HTTP API. Sends each call once, without retries. */
class ApiClient {
public:
    /** Sends the headers with every call; the deadline applies to every call. */
    ApiClient(HttpClient&, Address, HttpHeaders, Time deadline);

    /** Returns the response with any status. Errors: Unavailable if not sent (or unanswered, for a GET); OutcomeUnknown if sent but unanswered. */
    Result<HttpResponse> send(HttpRequest) const;

    /** Returns the JSON body; an error response is returned as its error. */
    Result<JsonValue> call(HttpRequest) const;

    Result<JsonValue> get(const std::string& path) const;
    Result<JsonValue> sendJson(const std::string& method, const std::string& path, const JsonValue& body) const;

    Time deadline() const { return deadline_; }

    /** Returns a client whose calls also end by this deadline. */
    ApiClient withDeadline(Time deadline) const { return { client_, address_, headers_, std::min(deadline, deadline_) }; }

private:
    HttpClient& client_;
    Address address_;
    HttpHeaders headers_;
    Time deadline_;
};

/** Parses the error in an error response. */
Error parseErrorAnswer(const HttpResponse&);

}
