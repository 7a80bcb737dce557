#pragma once

#include "net/asynchttpserver.h"
#include "node/admission.h"
#include "node/lifetime.h"
#include "node/linebudget.h"
#include "node/nodecontext.h"
#include "node/poolconfiguration.h"
#include "node/poolcontroller.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace fescuecleat {

/**
 * The HTTP API for callers: submits a job, returns its state, cancels it, and
 * counts the waiting jobs of a queue. A submission is answered with 200 only
 * after the store has confirmed the job's row.
 */
class JobApi {
public:
    /** Gives access to the parts of the instance that the API reads or notifies. */
    struct Dependencies {
        /** The configuration in force; null until one has been read. */
        std::function<std::shared_ptr<const PoolConfiguration>()> configuration_;
        /** Whether the configuration was confirmed recently enough to be relied on. */
        std::function<bool()> isConfigurationCurrent_;
        /** The scheduler, or null if this instance doesn't run it. */
        std::function<const PoolController*()> scheduler_;
        /** Sends a row that was just stored to the scheduler, on this or another instance. */
        std::function<void(const StoredRow&)> notifyScheduler_;
        /** The refusal of a job that can't end before its credit expires; may be null. */
        std::function<std::optional<AdmissionRefusal>(const AdmissionRequest&)> refusal_ = nullptr;
    };

    JobApi(const NodeContext&, Dependencies);

    /** Handles one request; responds exactly once, normally before the caller's timeout. */
    void handle(ServerRequest, AsyncHttpServer::Respond);

    /** Number of answers sent, by HTTP status. */
    const std::map<int, std::uint64_t>& answersByStatus() const { return answersByStatus_; }
    /** Number of jobs refused because they would end after their credit has expired. */
    std::uint64_t refusedJobs() const { return refusedJobs_; }

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    void serve(const CallPointer&);
    void submit(const CallPointer&);
    /** Refuses the job unless it was accepted before. */
    void refuseHopelessJob(const CallPointer&, const AdmissionRefusal&);
    /** Stores the job, if need be after a read that shows whether the store answers. */
    void accept(const CallPointer&);
    void probeStore(const CallPointer&);
    void sendSubmission(const CallPointer&);
    void handleSubmissionFailure(const CallPointer&, const StoreFailure&);
    void status(const CallPointer&);
    void statusFromIntake(const CallPointer&);
    /** Reads the job's intake row, followed by its cancel row if there is one. */
    void readIntake(const CallPointer&, const std::function<void(const std::vector<StoredRow>&)>& handleRows);
    void cancel(const CallPointer&);
    void sendCancellation(const CallPointer&, std::uint64_t jobVersion);
    void answerWaitingJobs(const CallPointer&);
    void handleCancellationFailure(const CallPointer&);
    void answer(const CallPointer&, int status, std::string body, const char* cause);
    void refuse(const CallPointer&, int status, const char* cause);
    /** Repeats a failed read once, possibly over a peer; responds with 503 if it fails again. */
    void retryOrRefuse(const CallPointer&, const std::function<void()>& retry);

    NodeContext context_;
    Dependencies dependencies_;
    Lifetime lifetime_;
    std::map<int, std::uint64_t> answersByStatus_;
    std::uint64_t refusedJobs_ = 0;
    /** Bounds the lines about refused jobs. */
    LineBudget refusalLines_;
};

}
