#include "platform/writepriority.h"

#include <algorithm>
#include <string_view>

namespace fescuecleat {

namespace {

    bool startsWith(const std::string& key, std::string_view prefix)
    {
        return key.compare(0, prefix.size(), prefix) == 0;
    }

    WritePriority priorityOf(const RowWrite& write)
    {
        if (startsWith(write.key_, "datacentre/") || startsWith(write.key_, "configuration/"))
            return WritePriority::Control;
        // Only retention deletes ended jobs and their keys.
        const bool isRetention = !write.value_ && (startsWith(write.key_, "ended/") || startsWith(write.key_, "jobkey/"));
        if (isRetention || startsWith(write.key_, "statistics/"))
            return WritePriority::Background;
        return WritePriority::Record;
    }

}

WritePriority priorityOf(const Transaction& transaction)
{
    WritePriority highest = WritePriority::Background;
    for (const RowWrite& write : transaction.writes_)
        highest = std::min(highest, priorityOf(write));
    return highest;
}

}
