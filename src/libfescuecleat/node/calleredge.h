#pragma once

#include "net/asynchttpserver.h"
#include "node/lifetime.h"
#include "node/nodecontext.h"
#include "node/poolconfiguration.h"
#include "node/poolcontroller.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fescuecleat {

/**
 * Callers' calls: submit a job, ask for its state, cancel it, count what waits.
 * A job is accepted when the store has confirmed its row.
 */
class CallerEdge {
public:
    struct Sources {
        /** The configuration in force; nothing before the first. */
        std::function<std::shared_ptr<const PoolConfiguration>()> configuration_;
        /** Whether the configuration is known to be the newest. */
        std::function<bool()> isConfigurationProven_;
        /** The scheduler, if this instance runs it. */
        std::function<const PoolController*()> scheduler_;
        /** Tells the scheduler of a row that was stored just now, wherever it runs. */
        std::function<void(const StoredRow&)> announce_;
    };

    CallerEdge(const NodeContext&, Sources);

    void handle(ServerRequest, AsyncHttpServer::Respond);

    const std::map<int, std::uint64_t>& answersByStatus() const { return answersByStatus_; }

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    void serve(const CallPointer&);
    void submit(const CallPointer&);
    void probeStore(const CallPointer&);
    void sendSubmission(const CallPointer&);
    void submissionFailed(const CallPointer&, const StoreFailure&);
    void status(const CallPointer&);
    void statusFromIntake(const CallPointer&);
    /** Hands over the job's row, and behind it the cancel row if there is one. */
    void readIntake(const CallPointer&, const std::function<void(const std::vector<StoredRow>&)>& use);
    void cancel(const CallPointer&);
    void sendCancellation(const CallPointer&, std::uint64_t jobVersion);
    void waiting(const CallPointer&);
    void cancellationFailed(const CallPointer&);
    void answer(const CallPointer&, int status, std::string body, const char* cause);
    void refuse(const CallPointer&, int status, const char* cause);
    /** Makes a call of the store once more, by another way; refuses the caller if that fails too. */
    void retryOrRefuse(const CallPointer&, const std::function<void()>& again);

    NodeContext context_;
    Sources sources_;
    Lifetime lifetime_;
    std::map<int, std::uint64_t> answersByStatus_;
};

}
