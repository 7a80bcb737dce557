#include "scheduler/jobphase.h"

namespace fescuecleat {

const char* jobPhaseName(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Queued:
        return "queued";
    case JobPhase::Adopting:
        return "adopting";
    case JobPhase::Preparing:
        return "preparing";
    case JobPhase::Starting:
        return "starting";
    case JobPhase::Running:
        return "running";
    case JobPhase::Stopping:
        return "stopping";
    }
    return "queued";
}

}
