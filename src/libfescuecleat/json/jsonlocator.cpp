#include "json/jsonlocator.h"

#include <utility>
#include <vector>

namespace fescuecleat {

namespace {

    /** An enclosing object or array and the position of its current member. */
    struct Level {
        bool isArray_ = false;
        int index_ = 0;
        std::string name_;
        int line_ = 1;
    };

    /** Scans the tokens of a JSON text for the value at a given path. */
    class PathLocator {
    public:
        PathLocator(std::string_view text, const std::string& path)
            : text_(text)
            , requestedPath_(path)
        {
        }

        std::optional<int> find()
        {
            while (position_ < text_.size()) {
                if (consumeToken())
                    return levels_.back().line_;
            }
            return std::nullopt;
        }

    private:
        /** Consumes one token; true if the requested member or element starts with it. */
        bool consumeToken()
        {
            const char c = text_[position_];
            if (c == '/') {
                skipComment();
                return false;
            }
            if (std::string_view(" \t\r\n").find(c) == std::string_view::npos && startElement(c))
                return true;
            if (c == '"')
                return consumeString();
            advance();
            if (c == '{' || c == '[')
                enterLevel(c == '[');
            else if ((c == '}' || c == ']') && !levels_.empty())
                levels_.pop_back();
            else if (c == ',' && !levels_.empty())
                startNextMember();
            return false;
        }

        /** Records the line of an array element at its first character; true if it is the requested one. */
        bool startElement(char c)
        {
            if (!expectsElement_ || c == ']')
                return false;
            expectsElement_ = false;
            levels_.back().line_ = line_;
            return isAtRequestedPath();
        }

        void enterLevel(bool isArray)
        {
            levels_.push_back({ isArray, 0, {}, line_ });
            expectsName_ = !isArray;
            expectsElement_ = isArray;
        }

        void startNextMember()
        {
            Level& level = levels_.back();
            ++level.index_;
            expectsName_ = !level.isArray_;
            expectsElement_ = level.isArray_;
        }

        bool consumeString()
        {
            std::string content;
            advance();
            while (position_ < text_.size() && text_[position_] != '"') {
                if (text_[position_] == '\\')
                    advance();
                if (position_ < text_.size()) {
                    content += text_[position_];
                    advance();
                }
            }
            advance();
            if (!expectsName_ || levels_.empty())
                return false;
            expectsName_ = false;
            levels_.back().name_ = std::move(content);
            levels_.back().line_ = line_;
            return isAtRequestedPath();
        }

        bool isAtRequestedPath() const
        {
            std::string path;
            for (const Level& level : levels_) {
                if (level.isArray_)
                    path += "[" + std::to_string(level.index_) + "]";
                else
                    path += (path.empty() ? "" : ".") + level.name_;
            }
            return path == requestedPath_;
        }

        void skipComment()
        {
            const bool isLine = text_.substr(position_, 2) == "//";
            const std::string_view end = isLine ? "\n" : "*/";
            while (position_ < text_.size() && text_.substr(position_, end.size()) != end)
                advance();
            for (std::size_t i = 0; i < end.size(); ++i)
                advance();
        }

        void advance()
        {
            if (position_ >= text_.size())
                return;
            if (text_[position_] == '\n')
                ++line_;
            ++position_;
        }

        std::string_view text_;
        const std::string& requestedPath_;
        std::size_t position_ = 0;
        int line_ = 1;
        bool expectsName_ = false;
        bool expectsElement_ = false;
        std::vector<Level> levels_;
    };

}

std::optional<int> lineOfPath(std::string_view text, const std::string& path)
{
    if (path.empty())
        return std::nullopt;
    return PathLocator(text, path).find();
}

}
