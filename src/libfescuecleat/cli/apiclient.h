#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/httpclient.h"
#include "json/json.h"

#include <algorithm>
#include <string>

namespace fescuecleat {

/** Calls the HTTP API of a daemon. Each call is sent once. */
class ApiClient {
public:
    /** The header fields go with every call; every call ends by the deadline. */
    ApiClient(HttpClient&, Address, HttpHeaders, Time deadline);

    /** The answer whatever its status. Errors: Unavailable, not sent; OutcomeUnknown, sent without an answer. */
    Result<HttpResponse> send(HttpRequest) const;

    /** The JSON of a good answer; an error answer becomes its typed error. */
    Result<JsonValue> call(HttpRequest) const;

    Result<JsonValue> get(const std::string& path) const;
    Result<JsonValue> put(const std::string& method, const std::string& path, const JsonValue& body) const;

    Time deadline() const { return deadline_; }

    /** The same client with an earlier deadline. */
    ApiClient until(Time deadline) const { return { client_, address_, headers_, std::min(deadline, deadline_) }; }

private:
    HttpClient& client_;
    Address address_;
    HttpHeaders headers_;
    Time deadline_;
};

/** The typed error that an error answer holds. */
Error parseErrorAnswer(const HttpResponse&);

}
