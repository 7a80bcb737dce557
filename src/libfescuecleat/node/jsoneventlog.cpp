#include "node/jsoneventlog.h"

#include "node/nodeclock.h"

#include <fcntl.h>
#include <unistd.h>

namespace fescuecleat {

namespace {

    constexpr std::size_t maxQueuedBytes = std::size_t(256) * 1024;

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
    while (!queue_.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, queue_.data(), queue_.size());
        if (written <= 0)
            return; // the reader is slow; write() drops lines once the queue is full
        queue_.erase(0, static_cast<std::size_t>(written));
    }
}

}
