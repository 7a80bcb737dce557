#pragma once

#include "base/result.h"
#include "base/time.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** The platform's object store. Calls block until answered or the deadline passed. Thread-safe. */
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /** Errors: Unavailable, OutcomeUnknown. Writing the same object again is harmless. */
    virtual Result<void> put(const std::string& name, const std::string& content, Time deadline) = 0;

    /** Errors: NotFound, Unavailable. */
    virtual Result<std::string> get(const std::string& name, Time deadline) = 0;

    /** Errors: Unavailable. Removing what isn't there is no error. */
    virtual Result<void> remove(const std::string& name, Time deadline) = 0;

    /** Names that begin with the prefix. Errors: Unavailable. */
    virtual Result<std::vector<std::string>> list(const std::string& prefix, Time deadline) = 0;
};

}
