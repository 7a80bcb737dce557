#include "json/json.h"

#include <cxxtools/jsondeserializer.h>
#include <cxxtools/jsonserializer.h>
#include <cxxtools/utf8codec.h>
#include <exception>
#include <set>
#include <sstream>

namespace fescuecleat {

namespace {

    const char* const syntaxRemedy = "correct the JSON text";

    /** Walks over a JSON text without building values and measures what the library does not check. */
    class TextScanner {
    public:
        explicit TextScanner(std::string_view text)
            : text_(text)
        {
        }

        int line() const { return line_; }

        /** Deepest nesting up to the end of the first value. */
        int depthOfFirstValue()
        {
            int depth = 0;
            int deepest = 0;
            skipBlank();
            while (position_ < text_.size()) {
                const char c = text_[position_];
                if (c == '"') {
                    skipString();
                } else if (c == '{' || c == '[') {
                    deepest = std::max(deepest, ++depth);
                    ++position_;
                } else if (c == '}' || c == ']') {
                    --depth;
                    ++position_;
                } else if (isBlank(c) || c == '/') {
                    skipBlank();
                    continue;
                } else if (isScalar(c)) {
                    takeScalar();
                } else {
                    ++position_;
                    checkComma(c);
                }
                if (depth <= 0)
                    break;
            }
            return deepest;
        }

        /** What is wrong with the value so far, found by depthOfFirstValue(); empty if nothing is. */
        const std::string& fault() const { return fault_; }

        /** Line of that fault. */
        int faultLine() const { return faultLine_; }

        /** True if only blanks and comments follow. */
        bool isAtEnd()
        {
            skipBlank();
            return position_ >= text_.size();
        }

    private:
        static bool isBlank(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }
        static bool isScalar(char c) { return !isBlank(c) && std::string_view("{}[],:\"/").find(c) == std::string_view::npos; }

        void report(const std::string& fault)
        {
            if (!fault_.empty())
                return;
            fault_ = fault;
            faultLine_ = line_;
        }

        /** The library takes parts of words and of numbers, and reads "tru" as null. */
        void takeScalar()
        {
            const std::size_t begin = position_;
            while (position_ < text_.size() && isScalar(text_[position_]))
                ++position_;
            const std::string_view token = text_.substr(begin, position_ - begin);
            constexpr std::size_t longestShown = 40;
            if (token != "true" && token != "false" && token != "null" && !isNumber(token))
                report("\"" + std::string(token.substr(0, longestShown)) + "\" is no value");
        }

        void checkComma(char c)
        {
            if (c != ',')
                return;
            skipBlank();
            if (position_ < text_.size() && (text_[position_] == '}' || text_[position_] == ']'))
                report("a comma stands before the end");
        }

        static std::string_view withoutDigits(std::string_view text)
        {
            const std::size_t end = text.find_first_not_of("0123456789");
            return end == std::string_view::npos ? std::string_view() : text.substr(end);
        }

        /** By the grammar of RFC 8259. */
        static bool isNumber(std::string_view text)
        {
            if (!text.empty() && text.front() == '-')
                text.remove_prefix(1);
            std::string_view rest = withoutDigits(text);
            const std::size_t wholeDigits = text.size() - rest.size();
            if (wholeDigits == 0 || (wholeDigits > 1 && text.front() == '0'))
                return false;
            if (!rest.empty() && rest.front() == '.') {
                const std::string_view fraction = rest.substr(1);
                rest = withoutDigits(fraction);
                if (rest.size() == fraction.size())
                    return false;
            }
            if (rest.empty())
                return true;
            if (rest.front() != 'e' && rest.front() != 'E')
                return false;
            rest.remove_prefix(1);
            if (!rest.empty() && (rest.front() == '+' || rest.front() == '-'))
                rest.remove_prefix(1);
            return !rest.empty() && withoutDigits(rest).empty();
        }

        bool startsWith(std::string_view prefix) const { return text_.substr(position_, prefix.size()) == prefix; }

        void advance()
        {
            if (text_[position_] == '\n')
                ++line_;
            ++position_;
        }

        void skipUntil(std::string_view end)
        {
            while (position_ < text_.size() && !startsWith(end))
                advance();
        }

        void skipBlank()
        {
            while (position_ < text_.size()) {
                if (isBlank(text_[position_])) {
                    advance();
                } else if (startsWith("//")) {
                    skipUntil("\n");
                } else if (startsWith("/*")) {
                    position_ += 2;
                    skipUntil("*/");
                    position_ = std::min(position_ + 2, text_.size());
                } else if (text_[position_] == '/') {
                    // Not a comment: the parser reports it.
                    ++position_;
                } else {
                    return;
                }
            }
        }

        void skipString()
        {
            ++position_;
            while (position_ < text_.size() && text_[position_] != '"') {
                if (text_[position_] == '\\')
                    ++position_;
                if (position_ < text_.size())
                    advance();
            }
            position_ = std::min(position_ + 1, text_.size());
        }

        std::string_view text_;
        std::size_t position_ = 0;
        int line_ = 1;
        std::string fault_;
        int faultLine_ = 0;
    };

    std::string joinedPath(const std::string& path, const std::string& name)
    {
        return path.empty() ? name : path + "." + name;
    }

    /** Path of the first member that stands twice in one object; empty if none does. */
    std::string duplicateMember(const JsonValue& value, const std::string& path)
    {
        std::set<std::string> names;
        int index = 0;
        for (const JsonValue& member : value) {
            std::string memberPath;
            if (value.category() == JsonValue::Object) {
                memberPath = joinedPath(path, member.name());
                if (!names.insert(member.name()).second)
                    return memberPath;
            } else {
                memberPath = path + "[" + std::to_string(index) + "]";
                ++index;
            }
            std::string found = duplicateMember(member, memberPath);
            if (!found.empty())
                return found;
        }
        return {};
    }

    std::string located(const std::string& location, const std::string& detail)
    {
        if (location.empty())
            return detail;
        return detail.empty() ? location : location + ": " + detail;
    }

    std::string write(const JsonValue& value, bool beautify)
    {
        std::ostringstream out;
        cxxtools::JsonSerializer serializer(out);
        serializer.beautify(beautify);
        serializer.serialize(value).finish();
        return out.str();
    }

}

Result<JsonValue> parseJson(std::string_view text, const std::string& location, const JsonLimits& limits)
{
    if (text.size() > limits.bytes_)
        return failure(ErrorKind::TooLarge, "JSON text has " + std::to_string(text.size()) + " bytes, at most " + std::to_string(limits.bytes_) + " are taken", "send a smaller text", location);

    TextScanner scanner(text);
    if (scanner.isAtEnd())
        return failure(ErrorKind::InvalidSyntax, "JSON text is empty", syntaxRemedy, location);
    if (scanner.depthOfFirstValue() > limits.depth_)
        return failure(ErrorKind::TooDeep, "JSON text is nested deeper than " + std::to_string(limits.depth_) + " levels", "send a flatter text", located(location, "line " + std::to_string(scanner.line())));
    if (!scanner.fault().empty())
        return failure(ErrorKind::InvalidSyntax, scanner.fault(), syntaxRemedy, located(location, "line " + std::to_string(scanner.faultLine())));
    if (!scanner.isAtEnd())
        return failure(ErrorKind::InvalidSyntax, "text follows the JSON value", "remove everything after the first value", located(location, "line " + std::to_string(scanner.line())));

    JsonValue value;
    try {
        std::istringstream in { std::string(text) };
        cxxtools::JsonDeserializer deserializer(in);
        deserializer.deserialize(value);
    } catch (const std::exception& error) {
        return failure(ErrorKind::InvalidSyntax, error.what(), syntaxRemedy, location);
    }
    const std::string duplicate = duplicateMember(value, {});
    if (!duplicate.empty())
        return failure(ErrorKind::DuplicateMember, "member stands twice in one object", "keep one of the two", located(location, duplicate));
    return value;
}

std::string writeJson(const JsonValue& value)
{
    return write(value, false);
}

std::string writePrettyJson(const JsonValue& value)
{
    return write(value, true);
}

JsonValue jsonObject()
{
    JsonValue value;
    value.setCategory(JsonValue::Object);
    return value;
}

void addMember(JsonValue& parent, const std::string& name, JsonValue member)
{
    JsonValue& added = parent.addMember(name);
    added = std::move(member);
    added.setName(name);
}

void replace(JsonValue& target, JsonValue content)
{
    target.swap(content);
}

JsonValue jsonArray()
{
    JsonValue value;
    value.setCategory(JsonValue::Array);
    return value;
}

}
