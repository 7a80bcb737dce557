#include "load/evidence.h"

namespace fescuecleat {

const char* sentOutcomeName(SentOutcome outcome)
{
    switch (outcome) {
    case SentOutcome::Answered:
        return "answered";
    case SentOutcome::NotRun:
        return "not_run";
    case SentOutcome::Unknown:
        return "unknown";
    case SentOutcome::Cut:
        return "cut";
    case SentOutcome::Refused:
        return "refused";
    }
    return "unknown";
}

}
