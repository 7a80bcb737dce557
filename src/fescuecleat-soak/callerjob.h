#pragma once

#include "calleranswer.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** A submitted job with the attempts to submit it and what the answers told about it. */
class CallerJob {
public:
    CallerJob(std::string id, CallerQueue, Time submittedAt);

    /** Takes over what an answer tells. */
    void record(const CallerAnswer&);
    void recordCancelSent() { isCancelSent_ = true; }
    /** One of its tasks crashes workers, so it may be given up. */
    void setDeadly() { isDeadly_ = true; }
    bool isDeadly() const { return isDeadly_; }

    const std::string& id() const { return id_; }
    const CallerQueue& queue() const { return queue_; }
    /** HTTP status of each attempt that ended; 0 for those without an answer. */
    const std::vector<int>& attempts() const { return attempts_; }
    std::optional<Time> acceptedAt() const { return acceptedAt_; }
    /** The first time it was shown as completed. */
    std::optional<Time> completedAt() const { return completedAt_; }
    std::optional<PoolJobState> lastState() const { return lastState_; }
    bool isCancelSent() const { return isCancelSent_; }
    /** Accepted and not cancelled, and its last known state isn't final. */
    bool isOpen() const;
    /** Every attempt that reached an instance was refused, so the job must never start. */
    bool isRefused() const;
    /** Time from submission to completion as seen by the caller. */
    std::optional<Duration> completionTime() const;

private:
    std::string id_;
    CallerQueue queue_;
    Time submittedAt_;
    std::vector<int> attempts_;
    bool mayHaveBeenAccepted_ = false;
    bool wasRefused_ = false;
    bool isCancelSent_ = false;
    bool isDeadly_ = false;
    std::optional<Time> acceptedAt_;
    std::optional<Time> completedAt_;
    std::optional<PoolJobState> lastState_;
};

}
