#pragma once

#include "http/httpmessage.h"

namespace fescuecleat {

/** Handles HTTP requests; called by several threads at once. */
class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    virtual HttpResponse handle(const HttpRequest&) = 0;
};

}
