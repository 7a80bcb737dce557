#pragma once

#include <ostream>

namespace fescuecleat {

class HttpClient;

/** HTTP client and output streams of a command. */
struct CommandContext {
    HttpClient& client_;
    /** Receives results. */
    std::ostream& out_;
    /** Receives errors and hints. */
    std::ostream& err_;
};

}
