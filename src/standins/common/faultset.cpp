#include "standins/common/faultset.h"

namespace fescuecleat::standins {

namespace {

    bool concerns(const Fault& fault, const std::string& instance, Time now)
    {
        return now < fault.until_ && (fault.instance_.empty() || fault.instance_ == instance);
    }

    bool hitsCalls(FaultKind kind)
    {
        return kind != FaultKind::FailTasks && kind != FaultKind::Refuse;
    }

}

std::optional<Fault> FaultSet::pick(const std::string& instance, const std::string& path, Time opened, Time now)
{
    for (const Fault& fault : faults_) {
        if (!hitsCalls(fault.kind_) || !concerns(fault, instance, now))
            continue;
        if (path.compare(0, fault.path_.size(), fault.path_) != 0 || opened >= fault.openedBefore_)
            continue;
        if (happens(fault.share_))
            return fault;
    }
    return std::nullopt;
}

bool FaultSet::refuses(const std::string& instance, Time now) const
{
    for (const Fault& fault : faults_) {
        if (fault.kind_ == FaultKind::Refuse && concerns(fault, instance, now))
            return true;
    }
    return false;
}

bool FaultSet::failsTask(const std::string& instance, Time now)
{
    for (const Fault& fault : faults_) {
        if (fault.kind_ == FaultKind::FailTasks && concerns(fault, instance, now) && happens(fault.share_))
            return true;
    }
    return false;
}

}
