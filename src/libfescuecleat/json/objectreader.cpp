#include "json/objectreader.h"

#include <cmath>
#include <exception>
#include <limits>
#include <sstream>
#include <utility>

namespace fescuecleat {

namespace {

    std::string rangeText(double least, double most)
    {
        std::ostringstream out;
        out << "give a value from " << least << " to " << most;
        return out.str();
    }

    // A parsed value keeps its text and names its type; a value that was built
    // in the program has no type name and holds the value itself.

    bool isText(const JsonValue& value)
    {
        if (!value.typeName().empty())
            return value.typeName() == "string";
        return value.isString() || value.isString8() || value.isChar();
    }

    bool isWhole(const JsonValue& value)
    {
        if (!value.typeName().empty())
            return value.typeName() == "int";
        return value.isInt() || value.isUInt();
    }

    bool isNumber(const JsonValue& value)
    {
        if (!value.typeName().empty())
            return value.typeName() == "int" || value.typeName() == "double";
        return isWhole(value) || value.isFloat() || value.isDouble() || value.isLongDouble();
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

std::int64_t ObjectReader::integer(const std::string& name, std::int64_t least, std::int64_t most)
{
    const JsonValue* member = find(name, true);
    if (!member)
        return least;
    if (!isWhole(*member)) {
        report(ErrorKind::WrongType, "value is not a whole number", "write a whole number without quotes or unit", name);
        return least;
    }
    std::int64_t number = 0;
    try {
        member->getValue(number);
    } catch (const std::exception&) {
        number = std::numeric_limits<std::int64_t>::max();
    }
    if (number < least || number > most) {
        report(ErrorKind::OutOfRange, "value is out of range", rangeText(static_cast<double>(least), static_cast<double>(most)), name);
        return least;
    }
    return number;
}

std::int64_t ObjectReader::integerOr(const std::string& name, std::int64_t fallback, std::int64_t least, std::int64_t most)
{
    return has(name) ? integer(name, least, most) : fallback;
}

double ObjectReader::number(const std::string& name, double least, double most)
{
    const JsonValue* member = find(name, true);
    if (!member)
        return least;
    if (!isNumber(*member)) {
        report(ErrorKind::WrongType, "value is not a number", "write a number without quotes or unit", name);
        return least;
    }
    double number = 0;
    member->getValue(number);
    if (!std::isfinite(number) || number < least || number > most) {
        report(ErrorKind::OutOfRange, "value is out of range", rangeText(least, most), name);
        return least;
    }
    return number;
}

double ObjectReader::numberOr(const std::string& name, double fallback, double least, double most)
{
    return has(name) ? number(name, least, most) : fallback;
}

std::string ObjectReader::string(const std::string& name, std::size_t longest)
{
    const JsonValue* member = find(name, true);
    if (!member)
        return {};
    if (!isText(*member)) {
        report(ErrorKind::WrongType, "value is not a string", "write a string in double quotes", name);
        return {};
    }
    std::string text;
    member->getValue(text);
    if (text.empty() || text.size() > longest) {
        report(ErrorKind::OutOfRange, "string is empty or too long", "give 1 to " + std::to_string(longest) + " bytes", name);
        return {};
    }
    return text;
}

std::string ObjectReader::stringOr(const std::string& name, std::string fallback, std::size_t longest)
{
    return has(name) ? string(name, longest) : std::move(fallback);
}

bool ObjectReader::boolean(const std::string& name)
{
    const JsonValue* member = find(name, true);
    if (!member)
        return false;
    if (!isBoolean(*member)) {
        report(ErrorKind::WrongType, "value is not true or false", "write true or false without quotes", name);
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
        if (!read_.count(member.name()))
            report(ErrorKind::UnknownMember, "member is not known", "remove it or correct its name", member.name());
    }
}

void ObjectReader::report(ErrorKind kind, std::string message, std::string remedy, const std::string& name)
{
    errors_.push_back({ kind, std::move(message), std::move(remedy), pathOf(name) });
}

const JsonValue* ObjectReader::find(const std::string& name, bool required)
{
    read_.insert(name);
    if (value_.category() != JsonValue::Object)
        return nullptr;
    const JsonValue* member = value_.findMember(name);
    if (!member && required)
        report(ErrorKind::MissingMember, "member is missing", "add it", name);
    return member;
}

}
