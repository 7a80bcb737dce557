#pragma once

#include "base/result.h"
#include "base/time.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** The platform's object store. Calls block until they are answered or the deadline has passed. Thread-safe. */
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /** Writes a whole object; idempotent. Errors: Unavailable, OutcomeUnknown. */
    virtual Result<void> put(const std::string& name, const std::string& content, Time deadline) = 0;

    /** Content of the object. Errors: NotFound, Unavailable. */
    virtual Result<std::string> get(const std::string& name, Time deadline) = 0;

    /** Removes the object; no error if it does not exist. Errors: Unavailable, OutcomeUnknown. */
    virtual Result<void> remove(const std::string& name, Time deadline) = 0;

    /** Names that begin with the prefix. Errors: Unavailable. */
    virtual Result<std::vector<std::string>> list(const std::string& prefix, Time deadline) = 0;
};

}
