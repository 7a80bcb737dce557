#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/**
 * Reads the members of a JSON object. Each reader returns nothing if the member is missing, and
 * throws nlohmann::json::exception, with the member's name in the message, if it is invalid.
 */
class CheckedObject {
public:
    /** `path` names the object in messages; empty for the outermost one. */
    CheckedObject(const nlohmann::json&, std::string path);

    std::optional<std::int64_t> integer(const std::string& name, std::int64_t min, std::int64_t max);
    std::optional<double> number(const std::string& name, double min, double max);
    std::optional<bool> boolean(const std::string& name);
    std::optional<std::string> text(const std::string& name);
    std::optional<std::vector<std::string>> texts(const std::string& name, bool mayBeEmpty = false);
    std::optional<CheckedObject> object(const std::string& name);
    /** Throws that a member is invalid for this reason. */
    [[noreturn]] void refuse(const std::string& name, const std::string& reason) const;
    /** Throws if the object has a member that nothing has asked for. */
    void refuseOthers() const;

private:
    const nlohmann::json* find(const std::string& name);

    const nlohmann::json& json_;
    std::string path_;
    std::set<std::string> known_;
};

}
