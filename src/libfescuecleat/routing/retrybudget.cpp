#include "routing/retrybudget.h"

#include <algorithm>

namespace fescuecleat {

void RetryBudget::addSuccess()
{
    available_ = std::min(maxReserve, available_ + retriesPerSuccess);
}

bool RetryBudget::tryTake()
{
    if (available_ < 1)
        return false;
    available_ -= 1;
    return true;
}

}
