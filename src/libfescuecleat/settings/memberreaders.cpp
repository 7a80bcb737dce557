#include "settings/memberreaders.h"

#include <algorithm>
#include <set>

namespace fescuecleat {

namespace {

    constexpr std::size_t longestName = 63;

    bool isLowerCase(char c) { return c >= 'a' && c <= 'z'; }
    bool isNameCharacter(char c) { return isLowerCase(c) || (c >= '0' && c <= '9') || c == '-'; }

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= longestName && isLowerCase(text.front()) && std::all_of(text.begin(), text.end(), isNameCharacter);
    }

    void reportAt(ObjectReader& reader, const std::string& name, const Error& error)
    {
        reader.report(error.kind_, error.message_, error.remedy_, name);
    }

    bool isText(const JsonValue& value)
    {
        return value.typeName() == "string" || (value.typeName().empty() && value.isString8());
    }

}

Duration readDuration(ObjectReader& reader, const std::string& name, Duration fallback, const DurationRange& range)
{
    const JsonValue* value = reader.any(name);
    if (!value)
        return fallback;
    if (!isText(*value)) {
        reader.report(ErrorKind::WrongUnit, "duration has no unit", "write a string with ms, s, min or h, such as \"30s\"", name);
        return fallback;
    }
    const Result<Duration> duration = parseDuration(reader.string(name));
    if (!duration) {
        reportAt(reader, name, duration.error());
        return fallback;
    }
    if (*duration < range.least_ || *duration > range.most_) {
        reader.report(ErrorKind::OutOfRange, "duration " + durationText(*duration) + " is out of range",
            "give one from " + durationText(range.least_) + " to " + durationText(range.most_), name);
        return fallback;
    }
    return *duration;
}

Address readAddress(ObjectReader& reader, const std::string& name)
{
    const std::string text = reader.string(name);
    if (text.empty())
        return {};
    Result<Address> address = parseAddress(text);
    if (address)
        return *address;
    reportAt(reader, name, address.error());
    return {};
}

std::vector<std::string> readStrings(ObjectReader& reader, const std::string& name)
{
    std::vector<std::string> strings;
    const JsonValue* values = reader.array(name, false);
    if (!values)
        return strings;
    std::set<std::string> seen;
    for (const JsonValue& value : *values) {
        const std::string element = name + "[" + std::to_string(strings.size()) + "]";
        std::string text;
        if (isText(value))
            value.getValue(text);
        if (text.empty())
            reader.report(ErrorKind::WrongType, "element is not a string or empty", "write a string in double quotes", element);
        else if (!seen.insert(text).second)
            reader.report(ErrorKind::DuplicateMember, "\"" + text + "\" stands twice in the array", "keep one of the two", element);
        strings.push_back(std::move(text));
    }
    return strings;
}

bool checkName(const std::string& name, const std::string& path, std::vector<Error>& errors)
{
    if (isName(name))
        return true;
    errors.push_back({ ErrorKind::OutOfRange, "\"" + name + "\" is no name",
        "use 1 to " + std::to_string(longestName) + " lower-case letters, digits and hyphens, a letter first", path });
    return false;
}

std::string readName(ObjectReader& reader, const std::string& name, std::vector<Error>& errors)
{
    std::string text = reader.string(name);
    if (!text.empty())
        checkName(text, reader.pathOf(name), errors);
    return text;
}

}
