#pragma once

#include "base/time.h"
#include "json/json.h"

#include <deque>
#include <map>
#include <string>

namespace fescuecleat::standins {

/** The platform's instance list, in which changes become visible after a delay. */
class InstanceListModel {
public:
    explicit InstanceListModel(Duration lag)
        : lag_(lag)
    {
    }

    /** Adds or changes an entry. */
    void put(const std::string& id, JsonValue entry, Time now);
    void remove(const std::string& id, Time now);

    /** Returns the list without the changes of the last `lag`. */
    JsonValue visible(Time now);

private:
    using Entries = std::map<std::string, JsonValue>;
    struct Snapshot {
        Time takenAt_;
        Entries entries_;
    };

    void addSnapshot(Time now);

    Duration lag_;
    Entries entries_;
    std::deque<Snapshot> snapshots_;
};

}
