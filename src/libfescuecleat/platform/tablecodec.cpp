#include "platform/tablecodec.h"

#include "json/objectreader.h"

#include <limits>

namespace fescuecleat {

namespace {

    /** Higher than the limits for requests of callers: a scan may return all rows of a data centre. */
    constexpr JsonLimits answerLimits { 64U << 20U, 32 };
    constexpr std::size_t maxKeyBytes = 1024;

    void addText(JsonValue& object, const char* name, const std::string& text)
    {
        object.addMember(name) <<= text;
    }

    void addNumber(JsonValue& object, const char* name, std::uint64_t number)
    {
        object.addMember(name) <<= static_cast<std::int64_t>(number);
    }

    std::uint64_t readRevision(ObjectReader& reader, const char* name)
    {
        return static_cast<std::uint64_t>(reader.integer(name, 0, std::numeric_limits<std::int64_t>::max()));
    }

    /** Reads an optional string of any length. */
    std::string readText(ObjectReader& reader, const char* name)
    {
        const JsonValue* member = reader.any(name);
        std::string text;
        if (!member || member->isNull())
            return text;
        if (member->typeName() != "string")
            reader.report(ErrorKind::WrongType, "value is not a string", "write a string in double quotes", name);
        else
            member->getValue(text);
        return text;
    }

    Row readRow(const JsonValue& value, const std::string& path, std::vector<Error>& errors)
    {
        ObjectReader reader(value, path, errors);
        Row row;
        row.key_ = reader.string("key", maxKeyBytes);
        row.value_ = readText(reader, "value");
        row.version_ = readRevision(reader, "version");
        return row;
    }

    std::vector<Row> readRows(ObjectReader& reader, const char* name, std::vector<Error>& errors)
    {
        std::vector<Row> rows;
        const JsonValue* array = reader.array(name);
        if (!array)
            return rows;
        rows.reserve(array->memberCount());
        for (const JsonValue& value : *array)
            rows.push_back(readRow(value, reader.pathOf(name), errors));
        return rows;
    }

    /** Parses an answer with `read(reader, errors)`. Unknown members are accepted, as the platform may add some. */
    template <typename Read>
    auto parseAnswer(const std::string& body, Read read) -> Result<decltype(read(std::declval<ObjectReader&>(), std::declval<std::vector<Error>&>()))>
    {
        const Result<JsonValue> value = parseJson(body, "answer of the platform", answerLimits);
        if (!value)
            return tl::unexpected<Error>(value.error());
        std::vector<Error> errors;
        ObjectReader reader(*value, "answer of the platform", errors);
        auto answer = read(reader, errors);
        if (!errors.empty())
            return tl::unexpected<Error>(errors.front());
        return answer;
    }

}

std::string writeTransaction(const Transaction& transaction)
{
    JsonValue value = jsonObject();
    addText(value, "write_id", transaction.writeId_);
    JsonValue& conditions = value.addMember("conditions");
    conditions.setCategory(JsonValue::Array);
    for (const RowCondition& condition : transaction.conditions_) {
        JsonValue& member = conditions.addMember("");
        member.setCategory(JsonValue::Object);
        addText(member, "key", condition.key_);
        addNumber(member, "version", condition.version_);
    }
    JsonValue& writes = value.addMember("writes");
    writes.setCategory(JsonValue::Array);
    for (const RowWrite& write : transaction.writes_) {
        JsonValue& member = writes.addMember("");
        member.setCategory(JsonValue::Object);
        addText(member, "key", write.key_);
        if (write.value_)
            addText(member, "value", *write.value_);
        else
            member.addMember("delete") <<= true;
    }
    return writeJson(value);
}

Result<Committed> parseCommitted(const std::string& body)
{
    return parseAnswer(body, [](ObjectReader& reader, std::vector<Error>&) {
        return Committed { readRevision(reader, "revision") };
    });
}

Result<Conflicted> parseConflicted(const std::string& body)
{
    return parseAnswer(body, [](ObjectReader& reader, std::vector<Error>& errors) {
        return Conflicted { readRows(reader, "current", errors) };
    });
}

Result<Row> parseRow(const std::string& body)
{
    const Result<JsonValue> value = parseJson(body, "answer of the platform", answerLimits);
    if (!value)
        return tl::unexpected<Error>(value.error());
    std::vector<Error> errors;
    Row row = readRow(*value, "answer of the platform", errors);
    if (!errors.empty())
        return tl::unexpected<Error>(errors.front());
    return row;
}

Result<RowScan> parseRowScan(const std::string& body)
{
    return parseAnswer(body, [](ObjectReader& reader, std::vector<Error>& errors) {
        RowScan scan;
        scan.rows_ = readRows(reader, "rows", errors);
        scan.revision_ = readRevision(reader, "revision");
        return scan;
    });
}

Result<std::vector<std::string>> parseNames(const std::string& body)
{
    return parseAnswer(body, [](ObjectReader& reader, std::vector<Error>&) {
        std::vector<std::string> names;
        const JsonValue* array = reader.array("names");
        if (!array)
            return names;
        for (const JsonValue& value : *array) {
            if (value.typeName() != "string") {
                reader.report(ErrorKind::WrongType, "name is not a string", "write a string in double quotes", "names");
                continue;
            }
            std::string name;
            value.getValue(name);
            names.push_back(std::move(name));
        }
        return names;
    });
}

}
