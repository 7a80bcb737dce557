#include "standins/platform/instancelistmodel.h"

#include <utility>

namespace fescuecleat::standins {

void InstanceListModel::put(const std::string& id, JsonValue entry, Time now)
{
    entries_[id] = std::move(entry);
    addSnapshot(now);
}

void InstanceListModel::remove(const std::string& id, Time now)
{
    entries_.erase(id);
    addSnapshot(now);
}

JsonValue InstanceListModel::visible(Time now)
{
    while (snapshots_.size() > 1 && snapshots_[1].takenAt_ + lag_ <= now)
        snapshots_.pop_front();
    JsonValue value = jsonObject();
    JsonValue& list = value.addMember("instances");
    list.setCategory(JsonValue::Array);
    if (snapshots_.empty() || snapshots_.front().takenAt_ + lag_ > now)
        return value;
    for (const auto& [id, entry] : snapshots_.front().entries_) {
        JsonValue& item = list.addMember("");
        item = entry;
        item.setName("");
    }
    return value;
}

void InstanceListModel::addSnapshot(Time now)
{
    // Until the first change is old enough, the visible list is empty.
    if (snapshots_.empty())
        snapshots_.push_back({ now - lag_, {} });
    snapshots_.push_back({ now, entries_ });
}

}
