#pragma once

#include "http/httpmessage.h"
#include "json/json.h"

#include <functional>
#include <string>

namespace fescuecleat::standins {

/** Takes the answer of one call, now or later; must be called once. */
using Reply = std::function<void(const HttpResponse&)>;

/** What stands behind one listening address. */
class Endpoint {
public:
    virtual ~Endpoint() = default;

    virtual void handle(const HttpRequest&, const Reply&) = 0;
};

/** An answer with a JSON body. */
inline HttpResponse jsonResponse(int status, const JsonValue& value)
{
    return { status, { { "content-type", "application/json" } }, writeJson(value) };
}

/** A refusal: {"kind", "message"}. */
inline HttpResponse refusal(int status, const std::string& kind, const std::string& message)
{
    JsonValue value = jsonObject();
    value.addMember("kind") <<= kind;
    value.addMember("message") <<= message;
    return jsonResponse(status, value);
}

}
