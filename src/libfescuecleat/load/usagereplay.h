#pragma once

#include "load/measures.h"

#include <map>
#include <string>

namespace fescuecleat {

/** Computes accelerator usage per second from the workers' logs. */
class UsageReplay {
public:
    UsageReplay(const Testbed&, Time start, Time end);

    /** Entries must be applied in order of time. */
    void apply(const LogEntry&);

    /** Ends the replay and adds its measures and series. */
    void finish(RepeatMeasures&);

private:
    struct Task {
        int accelerators_ = 0;
        Time startedAt_ = Time::max();
    };

    void sampleUntil(Time);
    void sample(double second);
    void endTask(const std::string& key, const LogEntry&);

    Time start_;
    Time end_;
    Time nextSample_;
    int totalAccelerators_ = 0;
    int acceleratorsPerWorker_ = 1;
    std::map<std::string, Task> tasks_;
    std::map<std::string, int> takenByWorker_;
    /** Accelerator seconds by the event that ended the task. */
    std::map<std::string, double> workByEndEvent_;
    double finishedSinceSample_ = 0;
    Series fragmentation_;
    Series takenShare_;
    Series finishedWork_;
};

}
