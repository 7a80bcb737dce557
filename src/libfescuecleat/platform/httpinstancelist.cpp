#include "platform/httpinstancelist.h"

#include "json/objectreader.h"

#include <charconv>
#include <optional>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr int statusOk = 200;
    constexpr std::size_t maxNameBytes = 256;

    std::optional<InstanceRole> parseRole(const std::string& name)
    {
        if (name == "entry")
            return InstanceRole::Entry;
        if (name == "worker")
            return InstanceRole::Worker;
        if (name == "minion")
            return InstanceRole::Minion;
        return std::nullopt;
    }

    /** Reads a member "ip:port". Returns an empty address for an absent optional member. */
    Address readAddress(ObjectReader& reader, const char* name, bool required)
    {
        const JsonValue* member = reader.any(name);
        std::string text;
        if (member && member->typeName() == "string")
            member->getValue(text);
        Address address;
        if (text.empty() && !required)
            return address;
        const std::size_t colon = text.rfind(':');
        const char* end = text.data() + text.size();
        if (colon != std::string::npos && colon > 0) {
            const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port_);
            if (parsed.ec == std::errc() && parsed.ptr == end) {
                address.ip_ = text.substr(0, colon);
                return address;
            }
        }
        reader.report(ErrorKind::OutOfRange, "address does not have the form ip:port", "give a numeric IP and a port", name);
        return {};
    }

    ListedInstance readInstance(ObjectReader& reader, InstanceRole role)
    {
        ListedInstance instance;
        instance.id_ = reader.string("id", maxNameBytes);
        instance.role_ = role;
        instance.dataCentre_ = DataCentreId(reader.string("data_centre", maxNameBytes));
        instance.address_ = readAddress(reader, "address", true);
        instance.peerAddress_ = readAddress(reader, "peer_address", false);
        const JsonValue* group = reader.any("group");
        if (group && group->typeName() == "string")
            group->getValue(instance.group_);
        instance.isLeaving_ = reader.booleanOr("leaving", false);
        return instance;
    }

}

Result<std::vector<ListedInstance>> parseInstances(const std::string& body)
{
    const char* const location = "instance list";
    const Result<JsonValue> value = parseJson(body, location);
    if (!value)
        return tl::unexpected<Error>(value.error());
    std::vector<Error> errors;
    ObjectReader reader(*value, location, errors);
    std::vector<ListedInstance> instances;
    const JsonValue* array = reader.array("instances");
    if (!array)
        return tl::unexpected<Error>(errors.front());
    for (const JsonValue& member : *array) {
        ObjectReader memberReader(member, location, errors);
        const std::optional<InstanceRole> role = parseRole(memberReader.stringOr("role", {}));
        if (role)
            instances.push_back(readInstance(memberReader, *role));
    }
    if (!errors.empty())
        return tl::unexpected<Error>(errors.front());
    return instances;
}

HttpInstanceList::HttpInstanceList(HttpClient& client, Address platform, const RetryPolicy& policy)
    : caller_(client, std::move(platform), policy)
{
}

Result<std::vector<ListedInstance>> HttpInstanceList::instances(Time deadline)
{
    HttpRequest request;
    request.path_ = "/v1/instances";
    const auto answer = caller_.send(request, deadline);
    if (!answer)
        return tl::unexpected<Error>(answer.error().toReadError());
    if (answer->response_.status_ != statusOk)
        return failure(ErrorKind::Unavailable, "the platform answered the request for the instance list with status " + std::to_string(answer->response_.status_), "check the platform's address");
    return parseInstances(answer->response_.body_);
}

}
