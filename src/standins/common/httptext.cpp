#include "standins/common/httptext.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <sstream>

namespace fescuecleat::standins {

namespace {

    constexpr std::size_t maxHeadBytes = 64U << 10U;
    constexpr std::size_t maxBodyBytes = 64U << 20U;

    std::string percentDecoded(const std::string& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                result += text[i] == '+' ? ' ' : text[i];
            }
        }
        return result;
    }

    void parseTarget(const std::string& target, HttpRequest& request)
    {
        const std::size_t queryStart = target.find('?');
        request.path_ = target.substr(0, queryStart);
        if (queryStart == std::string::npos)
            return;
        std::istringstream pairs(target.substr(queryStart + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
            const std::size_t equals = pair.find('=');
            const std::string value = equals == std::string::npos ? "" : pair.substr(equals + 1);
            request.query_[percentDecoded(pair.substr(0, equals))] = percentDecoded(value);
        }
    }

    void parseHeader(const std::string& line, HttpRequest& request)
    {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
        const std::size_t end = line.find_last_not_of(" \t\r");
        request.headers_[name] = begin == std::string::npos || end < begin ? "" : line.substr(begin, end - begin + 1);
    }

    const char* reasonPhrase(int status)
    {
        switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 409:
            return "Conflict";
        case 503:
            return "Service Unavailable";
        default:
            return "Other";
        }
    }

}

ParsedRequest parseRequest(const std::string& buffer)
{
    ParsedRequest parsed;
    const std::size_t headEnd = buffer.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        if (buffer.size() > maxHeadBytes)
            parsed.state_ = ParseState::Invalid;
        return parsed;
    }
    std::istringstream lines(buffer.substr(0, headEnd));
    std::string line;
    std::getline(lines, line);
    std::istringstream requestLine(line);
    std::string target;
    if (!(requestLine >> parsed.request_.method_ >> target)) {
        parsed.state_ = ParseState::Invalid;
        return parsed;
    }
    parseTarget(target, parsed.request_);
    while (std::getline(lines, line))
        parseHeader(line, parsed.request_);

    const auto contentLength = parsed.request_.headers_.find("content-length");
    const std::size_t bodyBytes = contentLength == parsed.request_.headers_.end() ? 0 : std::strtoull(contentLength->second.c_str(), nullptr, 10);
    if (bodyBytes > maxBodyBytes) {
        parsed.state_ = ParseState::Invalid;
        return parsed;
    }
    const std::size_t bodyBegin = headEnd + 4;
    if (buffer.size() < bodyBegin + bodyBytes)
        return parsed;
    parsed.request_.body_ = buffer.substr(bodyBegin, bodyBytes);
    parsed.sizeBytes_ = bodyBegin + bodyBytes;
    parsed.state_ = ParseState::Complete;
    return parsed;
}

std::string responseText(const HttpResponse& response)
{
    std::ostringstream out;
    out << "HTTP/1.1 " << response.status_ << ' ' << reasonPhrase(response.status_) << "\r\n";
    for (const auto& [name, value] : response.headers_)
        out << name << ": " << value << "\r\n";
    out << "Content-Length: " << response.body_.size() << "\r\n\r\n"
        << response.body_;
    return out.str();
}

}
