#pragma once

#include <tuple>

namespace fescuecleat {

/** Identifies a unit of work among those of its job. */
struct UnitId {
    int occurrence_ = 0;
    int step_ = 0;
    /** Index of the task; -1 for a gang. */
    int index_ = -1;

    bool isGang() const { return index_ < 0; }

    bool operator==(const UnitId& other) const { return tie() == other.tie(); }
    bool operator!=(const UnitId& other) const { return tie() != other.tie(); }
    bool operator<(const UnitId& other) const { return tie() < other.tie(); }

private:
    std::tuple<int, int, int> tie() const { return { occurrence_, step_, index_ }; }
};

}
