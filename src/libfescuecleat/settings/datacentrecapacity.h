#pragma once

#include <tuple>

namespace fescuecleat {

/** Declared size of a data centre. All guarantees together must fit into it. */
struct DataCentreCapacity {
    int workers_ = 0;
    int workersPerRack_ = 1;
    int acceleratorsPerWorker_ = 1;

    /** Number of racks that have all their workers. */
    int fullRacks() const { return workers_ / workersPerRack_; }

    bool operator==(const DataCentreCapacity& other) const
    {
        return std::tie(workers_, workersPerRack_, acceleratorsPerWorker_)
            == std::tie(other.workers_, other.workersPerRack_, other.acceleratorsPerWorker_);
    }
    bool operator!=(const DataCentreCapacity& other) const { return !(*this == other); }
};

}
