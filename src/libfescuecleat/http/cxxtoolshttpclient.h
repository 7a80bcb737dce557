#pragma once

#include "http/httpclient.h"

#include <cstddef>
#include <memory>

namespace fescuecleat {

/**
 * HttpClient through cxxtools. The library sends a request again by itself when
 * a kept-alive connection closes before the answer, so a request that may not
 * be repeated always gets a fresh connection.
 */
class CxxtoolsHttpClient : public HttpClient {
public:
    /** At most `idleConnections` are kept per address; answers are at most `bodyBytes` long. */
    explicit CxxtoolsHttpClient(std::size_t idleConnections = 8, std::size_t bodyBytes = 16U << 20U);
    ~CxxtoolsHttpClient() override;

    CxxtoolsHttpClient(const CxxtoolsHttpClient&) = delete;
    CxxtoolsHttpClient& operator=(const CxxtoolsHttpClient&) = delete;

    tl::expected<HttpResponse, TransportError> send(const Address&, const HttpRequest&, Time deadline, bool mayReuse) override;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
