#pragma once

#include "http/httpclient.h"
#include "load/balancer.h"
#include "load/experiment.h"
#include "load/jobtracker.h"
#include "load/operatorclient.h"
#include "load/recorder.h"
#include "load/testbed.h"

#include <atomic>
#include <string>

namespace fescuecleat {

/** Executes the steps of an experiment: operator actions and fault injection. */
class StepExecutor {
public:
    StepExecutor(const Testbed&, HttpClient&, JobTracker&, Recorder&);

    /** Executes a step; returns when it has taken effect or after stop(). */
    void execute(const Step&);

    /** Records the configuration version that each instance reports. */
    void sampleConfigurations();

    /** Aborts steps that wait to take effect. */
    void stop() { isStopped_ = true; }

    /** Removes all faults. */
    void repair();

private:
    using Response = OperatorClient::Response;

    void executeStep(const SetFaultsStep&);
    void executeStep(const TakeOutStep&);
    void executeStep(const ReturnStep&);
    void executeStep(const LeaveMinionsStep&);
    void executeStep(const PartitionStep&);
    void executeStep(const HealPartitionStep&);
    void executeStep(const ConfigureStep&);
    void executeStep(const CancelJobsStep&);

    /** True if the request was accepted. */
    bool requestTakeOut(const std::string& dataCentre, Time deadline) const;
    /** True once the data centre's status is done, so that no new work starts there. */
    bool isOut(const std::string& dataCentre) const;
    void recordVersions(const std::string& instance, const HttpResponse&, Time requestedAt);
    const TestbedDataCentre& dataCentreAt(int index) const;
    void postToFaultPort(const Address&, const std::string& path, const std::string& body) const;
    void setCut(const TestbedEntry&, const std::vector<std::string>& instances) const;

    const Testbed& testbed_;
    HttpClient& client_;
    OperatorClient operators_;
    JobTracker& jobs_;
    Recorder& recorder_;
    std::atomic<bool> isStopped_ { false };
};

}
