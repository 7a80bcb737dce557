#pragma once

#include <map>
#include <string>

namespace fescuecleat {

/** Header fields by lower-case name. */
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
    std::string method_ = "GET";
    /** Path without the query. */
    std::string path_ = "/";
    /** Decoded values; client and server do the percent-encoding. */
    std::map<std::string, std::string> query_;
    HttpHeaders headers_;
    std::string body_;
};

struct HttpResponse {
    int status_ = 200;
    HttpHeaders headers_;
    std::string body_;
};

}
