#include "api/requestoptions.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <vector>

namespace fescuecleat {

namespace {

    constexpr std::chrono::milliseconds defaultTimeout { 30000 };
    constexpr std::chrono::milliseconds maxTimeout { 600000 };
    constexpr std::size_t maxKeyBytes = 128;
    constexpr std::size_t maxKindBytes = 64;

    std::string headerOf(const HttpRequest& request, const std::string& name)
    {
        const auto header = request.headers_.find(name);
        return header == request.headers_.end() ? std::string() : header->second;
    }

    bool isVisible(char c) { return c > ' ' && c < 127; }

    bool isVisibleText(const std::string& text, std::size_t maxBytes)
    {
        return text.size() <= maxBytes && std::all_of(text.begin(), text.end(), isVisible);
    }

    std::optional<std::chrono::milliseconds> parseMilliseconds(const std::string& text)
    {
        std::int64_t value = 0;
        const char* const end = text.data() + text.size();
        const auto [rest, status] = std::from_chars(text.data(), end, value);
        if (status != std::errc() || rest != end || value < 1 || value > maxTimeout.count())
            return std::nullopt;
        return std::chrono::milliseconds(value);
    }

    class Parser {
    public:
        Parser(const HttpRequest& request, Time now)
            : request_(request)
        {
            options_.deadline_ = now + defaultTimeout;
        }

        void parse(Time now)
        {
            readKind();
            readDeadline(now);
            readIdempotence();
        }

        RequestOptions options_;
        std::vector<Error> errors_;

    private:
        void readKind()
        {
            const auto kind = request_.query_.find("kind");
            if (kind == request_.query_.end() || kind->second.empty())
                errors_.push_back({ ErrorKind::MissingMember, "the kind of the request is missing", "add ?kind=KIND to the path", "kind" });
            else if (!isVisibleText(kind->second, maxKindBytes))
                errors_.push_back({ ErrorKind::OutOfRange, "the kind of the request is too long or has blanks or invisible characters", "give at most 64 visible characters", "kind" });
            else
                options_.kind_ = kind->second;
        }

        void readDeadline(Time now)
        {
            const std::string text = headerOf(request_, "x-deadline-ms");
            if (text.empty())
                return;
            const auto timeLeft = parseMilliseconds(text);
            if (timeLeft)
                options_.deadline_ = now + *timeLeft;
            else
                errors_.push_back({ ErrorKind::OutOfRange, "x-deadline-ms is not a whole number from 1 to 600000", "give the milliseconds until the deadline", "x-deadline-ms" });
        }

        void readIdempotence()
        {
            const std::string flag = headerOf(request_, "x-idempotent");
            if (!flag.empty() && flag != "true" && flag != "false")
                errors_.push_back({ ErrorKind::WrongType, "x-idempotent is neither true nor false", "write true or false", "x-idempotent" });
            options_.isIdempotent_ = flag != "false";
            options_.idempotencyKey_ = headerOf(request_, "idempotency-key");
            if (!isVisibleText(options_.idempotencyKey_, maxKeyBytes))
                errors_.push_back({ ErrorKind::OutOfRange, "idempotency-key is too long or has blanks or invisible characters", "give at most 128 visible characters", "idempotency-key" });
            if (!options_.isIdempotent_ && options_.idempotencyKey_.empty())
                errors_.push_back({ ErrorKind::MissingMember, "a request that is not idempotent needs an idempotency-key", "add one and use the same if you send the request again", "idempotency-key" });
        }

        const HttpRequest& request_;
    };

}

ValidationResult<RequestOptions> parseRequestOptions(const HttpRequest& request, Time now)
{
    Parser parser(request, now);
    parser.parse(now);
    if (!parser.errors_.empty())
        return tl::make_unexpected(std::move(parser.errors_));
    return std::move(parser.options_);
}

}
