#include "node/startgate.h"

#include "node/poolworkerlink.h"

namespace fescuecleat {

namespace {

    std::string causeOf(View view)
    {
        return std::string(viewName(view)) + "_view";
    }

}

StartGate::StartGate(JsonEventLog& log, const InstanceSettings& settings)
    : log_(log)
    , limits_ { maxViewAge(settings.drainLimit_, PoolWorkerLink::requestTimeout),
        maxViewAge(settings.closureLimit_, PoolWorkerLink::requestTimeout),
        maxViewAge(settings.cancelLimit_, PoolWorkerLink::requestTimeout) }
{
}

bool StartGate::isOpen(const ViewTimes& times, Time now)
{
    const auto outdated = findOutdatedView(times, limits_, now);
    if (!outdated) {
        if (outdated_)
            log_.write("start.permitted", { { "cause", causeOf(*outdated_) }, { "withheldMs", wholeMilliseconds(now - closedAt_) } });
        outdated_.reset();
        return true;
    }
    if (!outdated_)
        closedAt_ = now;
    if (outdated_ != outdated->view_)
        log_.write("start.withheld", { { "cause", causeOf(outdated->view_) }, { "ageMs", wholeMilliseconds(outdated->age_) } });
    outdated_ = outdated->view_;
    return false;
}

void StartGate::countWithheld(std::size_t starts)
{
    if (outdated_)
        withheldByCause_[causeOf(*outdated_)] += starts;
}

void StartGate::noteRevoked(const RunId& run, StartRevocation revocation)
{
    const char* const cause = startRevocationName(revocation);
    ++withheldByCause_[cause];
    log_.write("start.withheld", { { "cause", cause }, { "job", run.task_.job_ }, { "task", toString(run.task_) }, { "run", run.number_ } });
}

}
