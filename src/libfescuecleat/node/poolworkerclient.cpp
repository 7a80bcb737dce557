#include "node/poolworkerclient.h"

namespace fescuecleat {

const char* workerFailureName(WorkerFailure failure)
{
    switch (failure) {
    case WorkerFailure::NoAnswer:
        return "no_answer";
    case WorkerFailure::NotSent:
        return "not_sent";
    case WorkerFailure::OtherLife:
        return "other_life";
    case WorkerFailure::FenceIsOld:
        return "fence_is_old";
    case WorkerFailure::Unreadable:
        return "unreadable";
    }
    return "unknown";
}

}
