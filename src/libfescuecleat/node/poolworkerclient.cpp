#include "node/poolworkerclient.h"

namespace fescuecleat {

const char* workerFailureName(WorkerFailure failure)
{
    switch (failure) {
    case WorkerFailure::NoAnswer:
        return "no_answer";
    case WorkerFailure::NotSent:
        return "not_sent";
    case WorkerFailure::OtherIncarnation:
        return "other_life";
    case WorkerFailure::StaleEpoch:
        return "fence_is_old";
    case WorkerFailure::Unreadable:
        return "unreadable";
    }
    return "unknown";
}

}
