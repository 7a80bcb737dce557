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

/** Plays operators and whatever breaks things: carries out the steps of an experiment. */
class OperatorPlayer {
public:
    OperatorPlayer(const Testbed&, HttpClient&, JobTracker&, Recorder&);

    /** Carries out a step; returns when it took effect, or when stop() was called. */
    void play(const Step&);

    /** Asks every instance which configuration is in force there. */
    void sampleConfigurations();

    /** Ends steps that wait for an effect. */
    void stop() { isStopped_ = true; }

    /** Takes all faults and cuts back. */
    void repair();

private:
    using Response = OperatorClient::Response;

    void playStep(const SetFaultsStep&);
    void playStep(const TakeOutStep&);
    void playStep(const ReturnStep&);
    void playStep(const LeaveMinionsStep&);
    void playStep(const CutOffStep&);
    void playStep(const JoinStep&);
    void playStep(const ConfigureStep&);
    void playStep(const CancelWaveStep&);

    /** True once the platform's table has it. */
    bool askToTakeOut(const std::string& dataCentre, Time deadline) const;
    /** True once operators are told that nothing starts there any more. */
    bool isOut(const std::string& dataCentre) const;
    void recordVersions(const std::string& instance, const HttpResponse&, Time asked);
    const TestbedDataCentre& dataCentre(int position) const;
    void postToFaultPort(const Address&, const std::string& path, const std::string& body) const;
    void cut(const TestbedEntry&, const std::vector<std::string>& instances) const;

    const Testbed& testbed_;
    HttpClient& client_;
    OperatorClient operators_;
    JobTracker& jobs_;
    Recorder& recorder_;
    std::atomic<bool> isStopped_ { false };
};

}
