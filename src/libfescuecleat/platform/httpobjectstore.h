#pragma once

#include "platform/objectstore.h"
#include "platform/platformcaller.h"

namespace fescuecleat {

/** The platform's object store over HTTP. All calls are idempotent. */
class HttpObjectStore : public ObjectStore {
public:
    /** The client must outlive this object. */
    HttpObjectStore(HttpClient&, Address platform, const RetryPolicy& = {});

    Result<void> put(const std::string& name, const std::string& content, Time deadline) override;
    Result<std::string> get(const std::string& name, Time deadline) override;
    Result<void> remove(const std::string& name, Time deadline) override;
    Result<std::vector<std::string>> list(const std::string& prefix, Time deadline) override;

private:
    PlatformCaller caller_;
};

}
