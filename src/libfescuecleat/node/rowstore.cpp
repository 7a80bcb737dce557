#include "node/rowstore.h"

namespace fescuecleat {

const char* storeFailureName(StoreFailureKind kind)
{
    switch (kind) {
    case StoreFailureKind::Conflict:
        return "conflict";
    case StoreFailureKind::Refused:
        return "refused";
    case StoreFailureKind::OutcomeUnknown:
        return "outcome_unknown";
    case StoreFailureKind::HistoryGone:
        return "history_gone";
    case StoreFailureKind::Rejected:
        return "rejected";
    }
    return "unknown";
}

std::string boundAfter(const std::string& key)
{
    return key + ' ';
}

}
