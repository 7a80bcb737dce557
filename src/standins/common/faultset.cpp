#include "standins/common/faultset.h"

namespace fescuecleat::standins {

namespace {

    bool appliesTo(const Fault& fault, const std::string& instance, Time now)
    {
        return now < fault.until_ && (fault.instance_.empty() || fault.instance_ == instance);
    }

    bool affectsRequests(FaultKind kind)
    {
        return kind != FaultKind::FailTasks && kind != FaultKind::Refuse;
    }

}

std::optional<Fault> FaultSet::select(const std::string& instance, const std::string& path, Time openedAt, Time now)
{
    for (const Fault& fault : faults_) {
        if (!affectsRequests(fault.kind_) || !appliesTo(fault, instance, now))
            continue;
        if (path.compare(0, fault.pathPrefix_.size(), fault.pathPrefix_) != 0 || openedAt >= fault.openedBefore_)
            continue;
        if (happens(fault.share_))
            return fault;
    }
    return std::nullopt;
}

bool FaultSet::refusesConnections(const std::string& instance, Time now) const
{
    for (const Fault& fault : faults_) {
        if (fault.kind_ == FaultKind::Refuse && appliesTo(fault, instance, now))
            return true;
    }
    return false;
}

bool FaultSet::failsTask(const std::string& instance, Time now)
{
    for (const Fault& fault : faults_) {
        if (fault.kind_ == FaultKind::FailTasks && appliesTo(fault, instance, now) && happens(fault.share_))
            return true;
    }
    return false;
}

}
