#pragma once

#include <ostream>

namespace fescuecleat {

class HttpClient;

/** What commands work with. */
struct CommandContext {
    HttpClient& client_;
    /** Results. */
    std::ostream& out_;
    /** Errors and hints. */
    std::ostream& err_;
};

}
