#include "node/jsoneventlog.h"

#include "base/bootclock.h"

#include <climits>
#include <fcntl.h>
#include <unistd.h>

namespace fescuecleat {

namespace {

    constexpr std::size_t maxQueuedBytes = std::size_t(256) * 1024;
    /** Writes of at most this size to a pipe are atomic, so lines of several processes don't mix. */
    constexpr std::size_t maxWriteBytes = PIPE_BUF;

}

JsonEventLog::JsonEventLog(std::string instance)
    : instance_(std::move(instance))
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void JsonEventLog::write(const char* event, nlohmann::json fields)
{
    if (queue_.size() > maxQueuedBytes) {
        ++droppedLines_;
        return;
    }
    fields["event"] = event;
    fields["instance"] = instance_;
    fields["unixMs"] = unixMsNow();
    if (droppedLines_ != reportedDroppedLines_) {
        fields["linesDroppedBefore"] = droppedLines_ - reportedDroppedLines_;
        reportedDroppedLines_ = droppedLines_;
    }
    queue_ += fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    queue_ += '\n';
}

void JsonEventLog::flush()
{
    std::size_t position = 0;
    while (position < queue_.size()) {
        std::size_t size = queue_.size() - position;
        if (size > maxWriteBytes) {
            const std::size_t end = queue_.rfind('\n', position + maxWriteBytes - 1);
            size = end == std::string::npos || end < position ? maxWriteBytes : end + 1 - position;
        }
        const ssize_t written = ::write(STDOUT_FILENO, queue_.data() + position, size);
        if (written <= 0)
            break; // the reader is slow; write() drops lines once the queue is full
        position += static_cast<std::size_t>(written);
    }
    queue_.erase(0, position);
}

}
