#pragma once

#include <string>
#include <tuple>

namespace fescuecleat {

/** A queue that callers submit to, with the key that they use. */
struct CallerQueue {
    std::string name_;
    std::string host_;
    std::string prefix_;
    std::string service_;
    int priority_ = 0;
    std::string key_;
    std::string organisation_;
    /** Calls need no key, so a withdrawn one isn't refused. */
    bool isPublic_ = false;

    bool operator==(const CallerQueue& other) const
    {
        return std::tie(name_, host_, prefix_, service_, priority_, key_, organisation_, isPublic_)
            == std::tie(other.name_, other.host_, other.prefix_, other.service_, other.priority_, other.key_, other.organisation_, other.isPublic_);
    }
    bool operator!=(const CallerQueue& other) const { return !(*this == other); }
};

}
