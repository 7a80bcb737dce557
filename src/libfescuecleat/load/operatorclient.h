#pragma once

#include "http/httpclient.h"
#include "load/testbed.h"
#include "json/json.h"

#include <string>

namespace fescuecleat {

/** Value of a member as text; empty if it doesn't exist. */
std::string memberText(const JsonValue&, const std::string& name);

/** Value of a member of the JSON object in the body; empty if it doesn't exist. */
std::string memberText(const HttpResponse&, const std::string& name);

/** Configuration version in a response; -1 if there is none. */
std::int64_t versionOf(const HttpResponse&);

/** Client of the daemons' operator API. Thread-safe. */
class OperatorClient {
public:
    using Response = tl::expected<HttpResponse, TransportError>;

    OperatorClient(const Testbed& testbed, HttpClient& client)
        : testbed_(testbed)
        , client_(client)
    {
    }

    Response call(const Address&, const std::string& method, const std::string& path, const std::string& body) const;

    /** Tries the instances in order until one responds with a status below 500. */
    Response callAny(const std::string& method, const std::string& path, const std::string& body) const;

private:
    const Testbed& testbed_;
    HttpClient& client_;
};

}
