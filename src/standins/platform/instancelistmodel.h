#pragma once

#include "base/time.h"
#include "json/json.h"

#include <deque>
#include <map>
#include <string>

namespace fescuecleat::standins {

/** The platform's list of instances, shown with a lag. */
class InstanceListModel {
public:
    explicit InstanceListModel(Duration lag)
        : lag_(lag)
    {
    }

    /** Adds or changes an entry. */
    void put(const std::string& id, JsonValue entry, Time now);
    void remove(const std::string& id, Time now);

    /** What the list shows now: the changes up to one lag ago. */
    JsonValue shown(Time now);

private:
    using Entries = std::map<std::string, JsonValue>;
    struct Snapshot {
        Time made_;
        Entries entries_;
    };

    void keep(Time now);

    Duration lag_;
    Entries entries_;
    std::deque<Snapshot> snapshots_;
};

}
