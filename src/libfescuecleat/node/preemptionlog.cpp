#include "node/preemptionlog.h"

#include <cstddef>

namespace fescuecleat {

namespace {

    constexpr Duration minInterval = std::chrono::seconds(1);

    const char* nameOf(DeclineCause cause)
    {
        switch (cause) {
        case DeclineCause::RoomFreesInTime:
            return "room_frees_in_time";
        case DeclineCause::LateAnyway:
            return "late_anyway";
        case DeclineCause::LosesTooMuch:
            return "loses_too_much";
        }
        return "";
    }

}

void PreemptionLog::update(const PreemptionAccount& account, Time now)
{
    const PreemptionAccount::DeclinedCounts& counts = account.declinedCounts();
    if (counts == logged_ || now < loggedAt_ + minInterval)
        return;
    nlohmann::json fields;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i] > logged_[i])
            fields[nameOf(static_cast<DeclineCause>(i))] = counts[i] - logged_[i];
    }
    log_.write("preemption.declined", fields);
    logged_ = counts;
    loggedAt_ = now;
}

std::string preemptionMetrics(const PreemptionAccount& account)
{
    std::string text = "fescuecleat_preempted_units_total " + std::to_string(account.stoppedUnits()) + "\n";
    text += "fescuecleat_preemption_lost_core_seconds_total " + std::to_string(account.lostCoreSeconds()) + "\n";
    for (std::size_t i = 0; i < account.declinedCounts().size(); ++i)
        text += "fescuecleat_preemption_declined_total{cause=\"" + std::string(nameOf(static_cast<DeclineCause>(i))) + "\"} " + std::to_string(account.declinedCounts()[i]) + "\n";
    return text;
}

}
