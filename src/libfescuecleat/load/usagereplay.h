#pragma once

#include "load/measures.h"

#include <map>
#include <string>

namespace fescuecleat {

/** Goes through the workers' logs and keeps what is taken, second by second. */
class UsageReplay {
public:
    UsageReplay(const Testbed&, Time start, Time end);

    /** Entries come in order of time. */
    void apply(const LogEntry&);

    /** Ends the replay and adds measures and series. */
    void finish(RepeatMeasures&);

private:
    struct Task {
        int accelerators_ = 0;
        Time started_ = Time::max();
    };

    void sampleUntil(Time);
    void sample(double second);
    void end(const std::string& key, const LogEntry&);

    Time start_;
    Time end_;
    Time nextSample_;
    int allAccelerators_ = 0;
    int acceleratorsPerWorker_ = 1;
    std::map<std::string, Task> tasks_;
    std::map<std::string, int> takenByWorker_;
    /** Accelerator seconds by how the task ended. */
    std::map<std::string, double> work_;
    double finishedSinceSample_ = 0;
    Series fragmentation_;
    Series taken_;
    Series finished_;
};

}
