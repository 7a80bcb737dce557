#pragma once

#include "platform/instancelist.h"
#include "platform/platformcaller.h"

#include <string>

namespace fescuecleat {

/** Body of the instance list's answer. Entries with an unknown role are left out. */
Result<std::vector<ListedInstance>> parseInstances(const std::string& body);

/** The platform's instance list over HTTP. */
class HttpInstanceList : public InstanceList {
public:
    /** The client outlives the list. */
    HttpInstanceList(HttpClient&, Address platform, const RetryPolicy& = {});

    Result<std::vector<ListedInstance>> instances(Time deadline) override;

private:
    PlatformCaller caller_;
};

}
