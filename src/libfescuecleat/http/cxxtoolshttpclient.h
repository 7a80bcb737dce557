#pragma once

#include "http/httpclient.h"

#include <cstddef>
#include <memory>

namespace fescuecleat {

/**
 * HttpClient based on cxxtools. The library resends a request by itself if a
 * kept-alive connection closes before the response, so a request that must not
 * be repeated always gets a new connection.
 */
class CxxtoolsHttpClient : public HttpClient {
public:
    /** Keeps at most `maxIdleConnections` per address; longer response bodies than `maxBodyBytes` are errors. */
    explicit CxxtoolsHttpClient(std::size_t maxIdleConnections = 8, std::size_t maxBodyBytes = 16U << 20U);
    ~CxxtoolsHttpClient() override;

    CxxtoolsHttpClient(const CxxtoolsHttpClient&) = delete;
    CxxtoolsHttpClient& operator=(const CxxtoolsHttpClient&) = delete;

    tl::expected<HttpResponse, TransportError> send(const Address&, const HttpRequest&, Time deadline, bool mayReuse) override;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
