#include "pool/pooljobspec.h"

#include <algorithm>

namespace fescuecleat {

int PoolJobSpec::occurrencesDueAt(std::int64_t unixMs) const
{
    if (unixMs < firstDueUnixMs_)
        return 0;
    if (periodMs_ <= 0)
        return occurrences_;
    return static_cast<int>(std::min<std::int64_t>(occurrences_, (unixMs - firstDueUnixMs_) / periodMs_ + 1));
}

}
