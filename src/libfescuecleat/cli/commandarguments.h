#pragma once

#include "base/time.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Output format of results. */
enum class OutputFormat {
    Text,
    Json,
};

/** Options and operands of a command line. */
struct CommandArguments {
    /** Arguments that are not options. */
    std::vector<std::string> operands_;
    OutputFormat output_ = OutputFormat::Text;
    std::string callerAddress_ = "127.0.0.1:7100";
    std::string operatorAddress_ = "127.0.0.1:7101";
    /** API key; if empty, none is sent. */
    std::string key_;
    /** File with lines "OWNER KEY". */
    std::string keyFile_;
    /** Owner whose key in the key file is used. */
    std::string owner_;
    /** Timeout of the whole command. */
    std::string timeout_ = "30s";

    // submit
    std::string file_;
    int tasks_ = 1;
    int accelerators_ = 1;
    long processorMillis_ = 1000;
    long memoryBytes_ = 0;
    std::string runTime_ = "1h";
    std::string adjacency_ = "any";
    bool isUrgent_ = false;
    bool isNotIdempotent_ = false;
    bool isNotCheckpointable_ = false;
    std::string idempotencyKey_;
    std::string payload_;
    bool waitsForEnd_ = false;

    // explain
    std::string instanceAddress_ = "127.0.0.1:7000";
    std::string queue_;
    std::string organisation_;

    // request
    std::string kind_;
    std::string body_;
    std::string bodyFile_;

    // data-centre out
    std::string drainTime_ = "60s";

    // config apply
    /** -1 for the version currently in force. */
    long expectedVersion_ = -1;
    std::string who_;

    // key new
    std::string overlayFile_;
    bool isPeerKey_ = false;
};

}
