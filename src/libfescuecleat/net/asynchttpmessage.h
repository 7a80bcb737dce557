#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescuecleat {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** A call to a peer. */
struct HttpCall {
    std::string method_;
    /** Path and query. */
    std::string target_;
    HttpHeaders headers_;
    std::string body_;
};

/** A peer's answer. */
struct HttpAnswer {
    int status_ = 0;
    std::string body_;
};

/** Why a call has no answer. */
enum class HttpFailure {
    /** The connection was never opened: the peer has not seen the call. */
    NotSent,
    /** The call may have been carried out, now or later. */
    NoAnswer,
};

/** A request that reached one of our listeners. */
struct ServerRequest {
    std::string method_;
    std::string path_;
    std::string host_;
    std::string authorization_;
    std::string body_;
    HttpHeaders headers_;

    std::optional<std::string> header(const std::string& name) const;
};

/** Our answer to a request. */
struct ServerResponse {
    int status_ = 200;
    std::string body_;
    HttpHeaders headers_;
    std::string contentType_ = "application/json";
};

}
