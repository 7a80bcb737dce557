#pragma once

#include "pool/organisationpolicy.h"

#include <cstdint>
#include <string>

namespace fescuecleat {

/** Why jobs of an organisation wait for its own limit. */
struct LimitWait {
    /** The resource that the first of them lacks. */
    ResourceKind resource_ {};
    /** Jobs with a unit that only the limit keeps from being placed. */
    int jobs_ = 0;
};

/** An organisation starts or stops to wait because of its limit. */
struct LimitChange {
    std::string organisation_;
    bool isWaiting_ = false;
    ResourceKind resource_ {};
    std::int64_t limit_ = 0;
    std::int64_t used_ = 0;
};

}
