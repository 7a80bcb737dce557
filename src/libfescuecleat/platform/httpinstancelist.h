#pragma once

#include "platform/instancelist.h"
#include "platform/platformcaller.h"

#include <string>

namespace fescuecleat {

/** Parses the body of an instance list. Entries with an unknown role are skipped. */
Result<std::vector<ListedInstance>> parseInstances(const std::string& body);

/** The platform's instance list over HTTP. */
class HttpInstanceList : public InstanceList {
public:
    /** The client must outlive this object. */
    HttpInstanceList(HttpClient&, Address platform, const RetryPolicy& = {});

    Result<std::vector<ListedInstance>> instances(Time deadline) override;

private:
    PlatformCaller caller_;
};

}
