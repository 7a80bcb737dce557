#pragma once

#include "base/result.h"
#include "net/asynchttpmessage.h"
#include "node/poolconfiguration.h"
#include "node/rowstore.h"
#include "pool/pooljobspec.h"
#include "pool/pooljobstate.h"
#include "pool/workerinfo.h"

#include <optional>
#include <string>

namespace fescuecleat {

/** How the operator's rows are written. */
class OperatorFormat {
public:
    virtual ~OperatorFormat() = default;
    virtual std::string table() const = 0;
    virtual OperatorChange decode(const StoredRow&) const = 0;
};

/** How workers write themselves into the registry. */
class RegistryFormat {
public:
    virtual ~RegistryFormat() = default;
    virtual std::string table() const = 0;
    /** An error says why the row names no worker to use. */
    virtual Result<WorkerInfo> decode(const StoredRow&) const = 0;
};

/** How callers write their calls and read our answers. */
class CallerFormat {
public:
    virtual ~CallerFormat() = default;
    virtual Result<PoolJobSpec> decodeJob(const std::string& body) const = 0;
    virtual std::string encodeState(PoolJobState) const = 0;
    virtual std::string encodeWaiting(int jobs) const = 0;
    /** The key that a call carries; empty if none. */
    virtual std::string apiKey(const ServerRequest&) const = 0;
    /** How long the caller waits for an answer. */
    virtual std::optional<Duration> timeLimit(const ServerRequest&) const = 0;
};

}
