#pragma once

#include "base/time.h"
#include "node/jsoneventlog.h"
#include "pool/preemptionaccount.h"

#include <string>

namespace fescuecleat {

/** Logs how often preemption was declined, by cause, at most once a second; and describes its cost as metrics. */
class PreemptionLog {
public:
    explicit PreemptionLog(JsonEventLog& log)
        : log_(log)
    {
    }

    /** Writes a line if there are new ones since the last line. */
    void update(const PreemptionAccount&, Time now);

private:
    JsonEventLog& log_;
    PreemptionAccount::DeclinedCounts logged_ {};
    Time loggedAt_ {};
};

/** The account as lines of the metrics page. */
std::string preemptionMetrics(const PreemptionAccount&);

}
