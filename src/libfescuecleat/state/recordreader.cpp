#include "state/recordreader.h"

#include <limits>

namespace fescuecleat {

bool readFormat(ObjectReader& reader, int maxFormat)
{
    const std::int64_t format = reader.integer("format", 1, std::numeric_limits<std::int32_t>::max());
    if (format <= maxFormat)
        return true;
    reader.report(ErrorKind::Unsupported, "record has format " + std::to_string(format) + ", this program reads up to " + std::to_string(maxFormat), "upgrade this instance", "format");
    return false;
}

std::string readOptionalText(ObjectReader& reader, const char* name, std::size_t maxBytes)
{
    const JsonValue* member = reader.any(name);
    std::string text;
    if (!member)
        return text;
    const bool isText = member->typeName().empty() ? member->isString() || member->isString8() : member->typeName() == "string";
    if (!isText) {
        reader.report(ErrorKind::WrongType, "value is not a string", "write a string in double quotes", name);
        return text;
    }
    member->getValue(text);
    if (text.size() > maxBytes) {
        reader.report(ErrorKind::OutOfRange, "string is too long", "give at most " + std::to_string(maxBytes) + " bytes", name);
        return {};
    }
    return text;
}

}
