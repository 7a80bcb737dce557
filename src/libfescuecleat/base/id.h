#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace fescuecleat {

/** A string identifier whose type depends on what it identifies, so that ids of different kinds can't be mixed up. */
template <typename Tag>
class Id {
public:
    Id() = default;
    explicit Id(std::string value)
        : value_(std::move(value))
    {
    }

    const std::string& value() const { return value_; }
    bool isEmpty() const { return value_.empty(); }

    bool operator==(const Id& other) const { return value_ == other.value_; }
    bool operator!=(const Id& other) const { return value_ != other.value_; }
    bool operator<(const Id& other) const { return value_ < other.value_; }

private:
    std::string value_;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const Id<Tag>& id)
{
    return out << id.value();
}

using JobId = Id<struct JobIdTag>;
using WorkerId = Id<struct WorkerIdTag>;
using RackId = Id<struct RackIdTag>;
using MinionId = Id<struct MinionIdTag>;
using ServiceId = Id<struct ServiceIdTag>;
using InstanceId = Id<struct InstanceIdTag>;
using DataCentreId = Id<struct DataCentreIdTag>;
using OrganisationId = Id<struct OrganisationIdTag>;
using RequestId = Id<struct RequestIdTag>;

}

namespace std {

template <typename Tag>
struct hash<fescuecleat::Id<Tag>> {
    size_t operator()(const fescuecleat::Id<Tag>& id) const { return hash<string>()(id.value()); }
};

}
