#pragma once

#include "http/httpclient.h"
#include "load/testbed.h"
#include "json/json.h"

#include <string>

namespace fescuecleat {

/** Text of a member; empty if there is none. */
std::string memberText(const JsonValue&, const std::string& name);

/** Text of a member of the JSON object in a body; empty if there is none. */
std::string memberText(const HttpResponse&, const std::string& name);

/** The configuration version that an answer names; -1 if there is none. */
std::int64_t versionOf(const HttpResponse&);

/** Calls the operators' edge of daemons with the operators' key. Thread-safe. */
class OperatorClient {
public:
    using Response = tl::expected<HttpResponse, TransportError>;

    OperatorClient(const Testbed& testbed, HttpClient& client)
        : testbed_(testbed)
        , client_(client)
    {
    }

    Response call(const Address&, const std::string& method, const std::string& path, const std::string& body) const;

    /** Calls one instance after the other until one answers with a status below 500. */
    Response callAny(const std::string& method, const std::string& path, const std::string& body) const;

private:
    const Testbed& testbed_;
    HttpClient& client_;
};

}
