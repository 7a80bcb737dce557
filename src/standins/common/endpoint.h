#pragma once

#include "http/httpmessage.h"
#include "json/json.h"

#include <functional>
#include <string>

namespace fescuecleat::standins {

/** Sends the response to one request, immediately or later. Must be called exactly once. */
using Reply = std::function<void(const HttpResponse&)>;

/** Handles the requests that arrive at one listening address. */
class Endpoint {
public:
    virtual ~Endpoint() = default;

    virtual void handle(const HttpRequest&, const Reply&) = 0;
};

/** Returns a response with a JSON body. */
inline HttpResponse jsonResponse(int status, const JsonValue& value)
{
    return { status, { { "content-type", "application/json" } }, writeJson(value) };
}

/** Returns an error response with the body {"kind", "message"}. */
inline HttpResponse errorResponse(int status, const std::string& kind, const std::string& message)
{
    JsonValue value = jsonObject();
    value.addMember("kind") <<= kind;
    value.addMember("message") <<= message;
    return jsonResponse(status, value);
}

}
