#include "scheduler/claim.h"

namespace fescuecleat {

const char* claimKindName(ClaimKind kind)
{
    switch (kind) {
    case ClaimKind::Reclaim:
        return "reclaim";
    case ClaimKind::Urgent:
        return "urgent";
    case ClaimKind::Aged:
        return "aged";
    case ClaimKind::Defragment:
        return "defragment";
    }
    return "reclaim";
}

}
