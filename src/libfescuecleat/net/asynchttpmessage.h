#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescuecleat {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/** A request to a peer. */
struct HttpCall {
    std::string method_;
    /** Path and query. */
    std::string target_;
    HeaderList headers_;
    std::string body_;
};

/** A peer's answer. */
struct HttpAnswer {
    int status_ = 0;
    std::string body_;
};

/** Why a call got no answer. */
enum class HttpFailure {
    /** No connection could be opened, so the peer hasn't received the call. */
    NotSent,
    /** The peer may have executed the call, or may do so later. */
    NoAnswer,
};

/** A request received by a listener. */
struct ServerRequest {
    std::string method_;
    std::string path_;
    std::string host_;
    std::string authorization_;
    std::string body_;
    HeaderList headers_;

    /** The value of the first header with this name, ignoring case. */
    std::optional<std::string> header(const std::string& name) const;
};

/** The answer to a received request. */
struct ServerResponse {
    /** 0 closes the connection without an answer. */
    int status_ = 200;
    std::string body_;
    HeaderList headers_;
    std::string contentType_ = "application/json";
};

}
