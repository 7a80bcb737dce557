#include "telemetry/processmetrics.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace fescuecleat {

namespace {

    Duration toDuration(const timeval& value)
    {
        return std::chrono::seconds(value.tv_sec) + std::chrono::microseconds(value.tv_usec);
    }

}

std::int64_t residentBytes()
{
    std::ifstream in("/proc/self/statm");
    std::int64_t totalPages = 0;
    std::int64_t residentPages = 0;
    if (!(in >> totalPages >> residentPages))
        return 0;
    return residentPages * sysconf(_SC_PAGESIZE);
}

Duration processorTime()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
}

void updateProcessMetrics(Metrics& metrics)
{
    metrics.gauge("fescuecleat_resident_bytes", "Resident memory of the process").set(residentBytes());
    metrics.gauge("fescuecleat_processor_milliseconds", "Processor time of the process since its start").set(std::chrono::duration_cast<std::chrono::milliseconds>(processorTime()).count());
}

}
