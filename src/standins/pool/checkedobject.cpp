#include "checkedobject.h"

namespace fescuecleat {

using Json = nlohmann::json;

CheckedObject::CheckedObject(const Json& json, std::string path)
    : json_(json)
    , path_(std::move(path))
{
    if (!json.is_object())
        throw Json::other_error::create(500, (path_.empty() ? "the text" : path_) + " must be an object", &json);
}

void CheckedObject::refuse(const std::string& name, const std::string& reason) const
{
    throw Json::other_error::create(500, (path_.empty() ? name : path_ + "." + name) + " " + reason, &json_);
}

const Json* CheckedObject::find(const std::string& name)
{
    known_.insert(name);
    const auto member = json_.find(name);
    return member == json_.end() ? nullptr : &*member;
}

std::optional<std::int64_t> CheckedObject::integer(const std::string& name, std::int64_t min, std::int64_t max)
{
    const Json* const member = find(name);
    if (member == nullptr)
        return std::nullopt;
    if (!member->is_number_integer() || *member < min || *member > max)
        refuse(name, "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return member->get<std::int64_t>();
}

std::optional<double> CheckedObject::number(const std::string& name, double min, double max)
{
    const Json* const member = find(name);
    if (member == nullptr)
        return std::nullopt;
    if (!member->is_number() || *member < min || *member > max)
        refuse(name, "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
    return member->get<double>();
}

std::optional<bool> CheckedObject::boolean(const std::string& name)
{
    const Json* const member = find(name);
    if (member == nullptr)
        return std::nullopt;
    if (!member->is_boolean())
        refuse(name, "must be true or false");
    return member->get<bool>();
}

std::optional<std::string> CheckedObject::text(const std::string& name)
{
    const Json* const member = find(name);
    if (member == nullptr)
        return std::nullopt;
    if (!member->is_string() || member->get_ref<const std::string&>().empty())
        refuse(name, "must be a text that isn't empty");
    return member->get<std::string>();
}

std::optional<std::vector<std::string>> CheckedObject::texts(const std::string& name, bool mayBeEmpty)
{
    const Json* const member = find(name);
    if (member == nullptr)
        return std::nullopt;
    if (!member->is_array() || (member->empty() && !mayBeEmpty))
        refuse(name, mayBeEmpty ? "must be an array of texts" : "must be an array of texts that isn't empty");
    std::vector<std::string> result;
    for (const Json& entry : *member) {
        if (!entry.is_string())
            refuse(name, "must be an array of texts");
        result.push_back(entry);
    }
    return result;
}

std::optional<CheckedObject> CheckedObject::object(const std::string& name)
{
    const Json* const member = find(name);
    if (member == nullptr)
        return std::nullopt;
    return CheckedObject(*member, path_.empty() ? name : path_ + "." + name);
}

void CheckedObject::refuseOthers() const
{
    for (const auto& [name, value] : json_.items()) {
        if (known_.count(name) == 0)
            refuse(name, "is unknown");
    }
}

}
