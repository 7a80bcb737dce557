#pragma once

#include "pool/backlog.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace fescuecleat {

/** A backlog and when it was true, by the store's clock. */
struct PublishedBacklog {
    Backlog backlog_;
    std::int64_t atMs_ = 0;
};

/** Key of the backlog's row in the table of summaries. */
constexpr const char* backlogKey = "backlog";

/** Encodes the row. Leaves out the entries with the least work if it would exceed `maxBytes`; the rest is still a lower bound. */
std::string encodeBacklog(const PublishedBacklog&, std::size_t maxBytes);
/** Returns nothing if the text is malformed. */
std::optional<PublishedBacklog> decodeBacklog(const std::string& text);

}
