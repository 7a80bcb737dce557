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

    /** Scans a JSON text without building values and checks the nesting depth and the syntax that cxxtools accepts by mistake. */
    class TextScanner {
    public:
        explicit TextScanner(std::string_view text)
            : text_(text)
        {
        }

        int line() const { return line_; }

        /** Scans the first value and returns its maximum nesting depth; see syntaxError() afterwards. */
        int scanFirstValue()
        {
            int depth = 0;
            int maxDepth = 0;
            skipWhitespaceAndComments();
            while (position_ < text_.size()) {
                const char c = text_[position_];
                if (c == '"') {
                    skipString();
                } else if (c == '{' || c == '[') {
                    maxDepth = std::max(maxDepth, ++depth);
                    ++position_;
                } else if (c == '}' || c == ']') {
                    --depth;
                    ++position_;
                } else if (isWhitespace(c) || c == '/') {
                    skipWhitespaceAndComments();
                    continue;
                } else if (isScalarCharacter(c)) {
                    checkScalar();
                } else {
                    ++position_;
                    checkComma(c);
                }
                if (depth <= 0)
                    break;
            }
            return maxDepth;
        }

        /** First syntax error found by scanFirstValue(); empty if there is none. */
        const std::string& syntaxError() const { return syntaxError_; }

        /** Line of the syntax error, counted from 1. */
        int syntaxErrorLine() const { return syntaxErrorLine_; }

        /** Skips whitespace and comments; true if nothing else follows. */
        bool isAtEnd()
        {
            skipWhitespaceAndComments();
            return position_ >= text_.size();
        }

    private:
        static bool isWhitespace(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }
        static bool isScalarCharacter(char c) { return !isWhitespace(c) && std::string_view("{}[],:\"/").find(c) == std::string_view::npos; }

        void reportError(const std::string& message)
        {
            if (!syntaxError_.empty())
                return;
            syntaxError_ = message;
            syntaxErrorLine_ = line_;
        }

        /** Checks a literal or number, since cxxtools accepts incomplete ones: it reads "tru" as null. */
        void checkScalar()
        {
            const std::size_t begin = position_;
            while (position_ < text_.size() && isScalarCharacter(text_[position_]))
                ++position_;
            const std::string_view token = text_.substr(begin, position_ - begin);
            constexpr std::size_t maxQuotedCharacters = 40;
            if (token != "true" && token != "false" && token != "null" && !isNumber(token))
                reportError("\"" + std::string(token.substr(0, maxQuotedCharacters)) + "\" is not a JSON value");
        }

        void checkComma(char c)
        {
            if (c != ',')
                return;
            skipWhitespaceAndComments();
            if (position_ < text_.size() && (text_[position_] == '}' || text_[position_] == ']'))
                reportError("trailing comma");
        }

        static std::string_view skipLeadingDigits(std::string_view text)
        {
            const std::size_t end = text.find_first_not_of("0123456789");
            return end == std::string_view::npos ? std::string_view() : text.substr(end);
        }

        /** Checks the number grammar of RFC 8259. */
        static bool isNumber(std::string_view text)
        {
            if (!text.empty() && text.front() == '-')
                text.remove_prefix(1);
            std::string_view remainder = skipLeadingDigits(text);
            const std::size_t integerDigits = text.size() - remainder.size();
            if (integerDigits == 0 || (integerDigits > 1 && text.front() == '0'))
                return false;
            if (!remainder.empty() && remainder.front() == '.') {
                const std::string_view fraction = remainder.substr(1);
                remainder = skipLeadingDigits(fraction);
                if (remainder.size() == fraction.size())
                    return false;
            }
            if (remainder.empty())
                return true;
            if (remainder.front() != 'e' && remainder.front() != 'E')
                return false;
            remainder.remove_prefix(1);
            if (!remainder.empty() && (remainder.front() == '+' || remainder.front() == '-'))
                remainder.remove_prefix(1);
            return !remainder.empty() && skipLeadingDigits(remainder).empty();
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

        void skipWhitespaceAndComments()
        {
            while (position_ < text_.size()) {
                if (isWhitespace(text_[position_])) {
                    advance();
                } else if (startsWith("//")) {
                    skipUntil("\n");
                } else if (startsWith("/*")) {
                    position_ += 2;
                    skipUntil("*/");
                    position_ = std::min(position_ + 2, text_.size());
                } else if (text_[position_] == '/') {
                    // Not a comment; the deserializer reports the error.
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
        std::string syntaxError_;
        int syntaxErrorLine_ = 0;
    };

    std::string joinPath(const std::string& path, const std::string& name)
    {
        return path.empty() ? name : path + "." + name;
    }

    /** Returns the path of the first duplicate member of an object; empty if there is none. */
    std::string findDuplicateMember(const JsonValue& value, const std::string& path)
    {
        std::set<std::string> names;
        int index = 0;
        for (const JsonValue& member : value) {
            std::string memberPath;
            if (value.category() == JsonValue::Object) {
                memberPath = joinPath(path, member.name());
                if (!names.insert(member.name()).second)
                    return memberPath;
            } else {
                memberPath = path + "[" + std::to_string(index) + "]";
                ++index;
            }
            std::string found = findDuplicateMember(member, memberPath);
            if (!found.empty())
                return found;
        }
        return {};
    }

    std::string joinLocation(const std::string& location, const std::string& detail)
    {
        if (location.empty())
            return detail;
        return detail.empty() ? location : location + ": " + detail;
    }

    std::string serialize(const JsonValue& value, bool isPretty)
    {
        std::ostringstream out;
        cxxtools::JsonSerializer serializer(out);
        serializer.beautify(isPretty);
        serializer.serialize(value).finish();
        return out.str();
    }

}

Result<JsonValue> parseJson(std::string_view text, const std::string& location, const JsonLimits& limits)
{
    if (text.size() > limits.maxBytes_)
        return failure(ErrorKind::TooLarge, "JSON text has " + std::to_string(text.size()) + " bytes, the limit is " + std::to_string(limits.maxBytes_) + " bytes", "send a smaller text", location);

    TextScanner scanner(text);
    if (scanner.isAtEnd())
        return failure(ErrorKind::InvalidSyntax, "JSON text is empty", syntaxRemedy, location);
    if (scanner.scanFirstValue() > limits.maxDepth_)
        return failure(ErrorKind::TooDeep, "JSON text is nested deeper than " + std::to_string(limits.maxDepth_) + " levels", "send a text with less nesting", joinLocation(location, "line " + std::to_string(scanner.line())));
    if (!scanner.syntaxError().empty())
        return failure(ErrorKind::InvalidSyntax, scanner.syntaxError(), syntaxRemedy, joinLocation(location, "line " + std::to_string(scanner.syntaxErrorLine())));
    if (!scanner.isAtEnd())
        return failure(ErrorKind::InvalidSyntax, "unexpected text after the JSON value", "remove everything after the first value", joinLocation(location, "line " + std::to_string(scanner.line())));

    JsonValue value;
    try {
        std::istringstream in { std::string(text) };
        cxxtools::JsonDeserializer deserializer(in);
        deserializer.deserialize(value);
    } catch (const std::exception& error) {
        return failure(ErrorKind::InvalidSyntax, error.what(), syntaxRemedy, location);
    }
    const std::string duplicate = findDuplicateMember(value, {});
    if (!duplicate.empty())
        return failure(ErrorKind::DuplicateMember, "duplicate member in an object", "remove one of the two", joinLocation(location, duplicate));
    return value;
}

std::string writeJson(const JsonValue& value)
{
    return serialize(value, false);
}

std::string writePrettyJson(const JsonValue& value)
{
    return serialize(value, true);
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
