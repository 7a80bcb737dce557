#include "platform/breakertable.h"

namespace fescuecleat {

BreakerTable::BreakerTable(Table& table, const CircuitBreakerLimits& limits)
    : table_(table)
    , breaker_(limits)
{
}

template <typename Call>
auto BreakerTable::callThroughBreaker(Call call) -> decltype(call())
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!breaker_.allows(monotonicNow())) {
            ++refused_;
            return failure(ErrorKind::Unavailable, "the circuit breaker is open because the platform's table does not answer, so the call was not sent", "try again in a few seconds");
        }
    }
    auto answer = call();
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool isUnanswered = !answer && (answer.error().kind_ == ErrorKind::Unavailable || answer.error().kind_ == ErrorKind::OutcomeUnknown);
    if (isUnanswered)
        breaker_.failed(monotonicNow());
    else
        breaker_.succeeded();
    return answer;
}

Result<CommitOutcome> BreakerTable::commit(const Transaction& transaction, Time deadline)
{
    return callThroughBreaker([&] { return table_.commit(transaction, deadline); });
}

Result<Row> BreakerTable::read(const std::string& key, Time deadline)
{
    return callThroughBreaker([&] { return table_.read(key, deadline); });
}

Result<RowScan> BreakerTable::scan(const std::string& prefix, Time deadline)
{
    return callThroughBreaker([&] { return table_.scan(prefix, deadline); });
}

bool BreakerTable::isOpen() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return breaker_.isOpen();
}

std::uint64_t BreakerTable::refused() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return refused_;
}

}
