#include "json/objectreader.h"

#include <cmath>
#include <exception>
#include <limits>
#include <sstream>
#include <utility>

namespace fescuecleat {

namespace {

    std::string rangeRemedy(double min, double max)
    {
        std::ostringstream out;
        out << "give a value from " << min << " to " << max;
        return out.str();
    }

    // A parsed value keeps its text and has a type name. A value built by the
    // program has no type name and holds the native value.

    bool isString(const JsonValue& value)
    {
        if (!value.typeName().empty())
            return value.typeName() == "string";
        return value.isString() || value.isString8() || value.isChar();
    }

    bool isInteger(const JsonValue& value)
    {
        if (!value.typeName().empty())
            return value.typeName() == "int";
        return value.isInt() || value.isUInt();
    }

    bool isNumber(const JsonValue& value)
    {
        if (!value.typeName().empty())
            return value.typeName() == "int" || value.typeName() == "double";
        return isInteger(value) || value.isFloat() || value.isDouble() || value.isLongDouble();
    }

    bool isBoolean(const JsonValue& value)
    {
        return value.typeName().empty() ? value.isBool() : value.typeName() == "bool";
    }

}

ObjectReader::ObjectReader(const JsonValue& value, std::string path, std::vector<Error>& errors)
    : value_(value)
    , path_(std::move(path))
    , errors_(errors)
{
    if (value_.category() != JsonValue::Object)
        errors_.push_back({ ErrorKind::WrongType, "value is not an object", "write an object in braces", path_ });
}

bool ObjectReader::has(const std::string& name) const
{
    return value_.category() == JsonValue::Object && value_.findMember(name);
}

std::string ObjectReader::pathOf(const std::string& name) const
{
    return path_.empty() ? name : path_ + "." + name;
}

std::int64_t ObjectReader::integer(const std::string& name, std::int64_t min, std::int64_t max)
{
    const JsonValue* member = find(name, true);
    if (!member)
        return min;
    if (!isInteger(*member)) {
        report(ErrorKind::WrongType, "value is not a whole number", "write a whole number without quotes or unit", name);
        return min;
    }
    std::int64_t number = 0;
    try {
        member->getValue(number);
    } catch (const std::exception&) {
        number = std::numeric_limits<std::int64_t>::max();
    }
    if (number < min || number > max) {
        report(ErrorKind::OutOfRange, "value is out of range", rangeRemedy(static_cast<double>(min), static_cast<double>(max)), name);
        return min;
    }
    return number;
}

std::int64_t ObjectReader::integerOr(const std::string& name, std::int64_t fallback, std::int64_t min, std::int64_t max)
{
    return has(name) ? integer(name, min, max) : fallback;
}

double ObjectReader::number(const std::string& name, double min, double max)
{
    const JsonValue* member = find(name, true);
    if (!member)
        return min;
    if (!isNumber(*member)) {
        report(ErrorKind::WrongType, "value is not a number", "write a number without quotes or unit", name);
        return min;
    }
    double number = 0;
    member->getValue(number);
    if (!std::isfinite(number) || number < min || number > max) {
        report(ErrorKind::OutOfRange, "value is out of range", rangeRemedy(min, max), name);
        return min;
    }
    return number;
}

double ObjectReader::numberOr(const std::string& name, double fallback, double min, double max)
{
    return has(name) ? number(name, min, max) : fallback;
}

std::string ObjectReader::string(const std::string& name, std::size_t maxBytes)
{
    const JsonValue* member = find(name, true);
    if (!member)
        return {};
    if (!isString(*member)) {
        report(ErrorKind::WrongType, "value is not a string", "write a string in double quotes", name);
        return {};
    }
    std::string text;
    member->getValue(text);
    if (text.empty() || text.size() > maxBytes) {
        report(ErrorKind::OutOfRange, "string is empty or too long", "use a string of 1 to " + std::to_string(maxBytes) + " bytes", name);
        return {};
    }
    return text;
}

std::string ObjectReader::stringOr(const std::string& name, std::string fallback, std::size_t maxBytes)
{
    return has(name) ? string(name, maxBytes) : std::move(fallback);
}

bool ObjectReader::boolean(const std::string& name)
{
    const JsonValue* member = find(name, true);
    if (!member)
        return false;
    if (!isBoolean(*member)) {
        report(ErrorKind::WrongType, "value is not a boolean", "write true or false without quotes", name);
        return false;
    }
    bool flag = false;
    member->getValue(flag);
    return flag;
}

bool ObjectReader::booleanOr(const std::string& name, bool fallback)
{
    return has(name) ? boolean(name) : fallback;
}

const JsonValue* ObjectReader::object(const std::string& name, bool required)
{
    const JsonValue* member = find(name, required);
    if (member && member->category() != JsonValue::Object) {
        report(ErrorKind::WrongType, "value is not an object", "write an object in braces", name);
        return nullptr;
    }
    return member;
}

const JsonValue* ObjectReader::array(const std::string& name, bool required)
{
    const JsonValue* member = find(name, required);
    if (member && member->category() != JsonValue::Array) {
        report(ErrorKind::WrongType, "value is not an array", "write an array in brackets", name);
        return nullptr;
    }
    return member;
}

const JsonValue* ObjectReader::any(const std::string& name)
{
    return find(name, false);
}

void ObjectReader::finish()
{
    if (value_.category() != JsonValue::Object)
        return;
    for (const JsonValue& member : value_) {
        if (!readMembers_.count(member.name()))
            report(ErrorKind::UnknownMember, "member is not known", "remove it or correct its name", member.name());
    }
}

void ObjectReader::report(ErrorKind kind, std::string message, std::string remedy, const std::string& name)
{
    errors_.push_back({ kind, std::move(message), std::move(remedy), pathOf(name) });
}

const JsonValue* ObjectReader::find(const std::string& name, bool required)
{
    readMembers_.insert(name);
    if (value_.category() != JsonValue::Object)
        return nullptr;
    const JsonValue* member = value_.findMember(name);
    if (!member && required)
        report(ErrorKind::MissingMember, "member is missing", "add it", name);
    return member;
}

}
