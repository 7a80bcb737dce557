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

/** Decodes the rows that the operator writes. */
class OperatorFormat {
public:
    virtual ~OperatorFormat() = default;
    virtual std::string table() const = 0;
    virtual OperatorChange decode(const StoredRow&) const = 0;
};

/** Decodes the workers' registry rows. */
class RegistryFormat {
public:
    virtual ~RegistryFormat() = default;
    virtual std::string table() const = 0;
    /** Fails with the reason if the row doesn't describe a usable worker. */
    virtual Result<WorkerInfo> decode(const StoredRow&) const = 0;
    /**
     * Whether two values of a row certainly decode to the same worker, apart from `WorkerInfo::leavesIn_`.
     * It is much cheaper than decoding, and may be false for values that do.
     */
    virtual bool isHeartbeat(const std::string& former, const std::string& current) const { return former == current; }
};

/** Decodes callers' requests and encodes the answers. */
class CallerFormat {
public:
    virtual ~CallerFormat() = default;
    virtual Result<PoolJobSpec> decodeJob(const std::string& body) const = 0;
    virtual std::string encodeState(PoolJobState) const = 0;
    virtual std::string encodeWaiting(int jobs) const = 0;
    /** The request's API key; empty if it has none. */
    virtual std::string apiKey(const ServerRequest&) const = 0;
    /** The time that the caller waits for an answer; nothing if the request doesn't say. */
    virtual std::optional<Duration> callTimeout(const ServerRequest&) const = 0;
};

}
