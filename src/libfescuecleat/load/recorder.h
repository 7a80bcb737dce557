#pragma once

#include "load/evidence.h"

#include <mutex>
#include <utility>

namespace fescuecleat {

/** Collects evidence from the threads of a run. Thread-safe. */
class Recorder {
public:
    /** Calls the function with the evidence while holding the lock. */
    template <typename Function>
    auto with(Function&& function)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return function(evidence_);
    }

    void add(SentRequest request)
    {
        with([&](Evidence& evidence) { evidence.requests_.push_back(std::move(request)); });
    }
    void add(SentJob job)
    {
        with([&](Evidence& evidence) { evidence.jobs_.push_back(std::move(job)); });
    }
    void add(const AcceptedConfiguration& accepted)
    {
        with([&](Evidence& evidence) { evidence.acceptedConfigurations_.push_back(accepted); });
    }
    void add(const ReportedConfiguration& shown)
    {
        with([&](Evidence& evidence) { evidence.reportedConfigurations_.push_back(shown); });
    }

private:
    std::mutex mutex_;
    Evidence evidence_;
};

}
