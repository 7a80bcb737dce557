#pragma once

#include "control/controlrecords.h"
#include "control/controltiming.h"
#include "control/servicewatch.h"
#include "platform/table.h"
#include "platform/writeids.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace fescuecleat {

/** An operator's wish about a data centre. */
struct ServiceWish {
    DataCentreId dataCentre_;
    bool isInService_ = true;
    std::string by_;
    std::string reason_;
    /** Time that running work gets to end; meaningless for a return. */
    Duration drain_ { 0 };
    /** Version of the service row that the operator saw; none: whatever it is now. */
    std::optional<std::uint64_t> basedOn_;
};

/** The wish is durable in this version of the service row. */
struct ServiceChanged {
    std::uint64_t version_ = 0;
};

/** Another operator was first; nothing of the wish took effect. */
struct ServiceRaced {
    ServiceRecord winner_;
    std::uint64_t version_ = 0;
};

using ServiceOutcome = std::variant<ServiceChanged, ServiceRaced>;

struct ServiceStatus {
    ServiceRecord record_;
    std::uint64_t version_ = 0;
    ServiceProgress progress_ = ServiceProgress::Pending;
    /** True if the scheduler itself said so, false if its permit has lapsed. */
    bool isAcknowledged_ = false;
};

/**
 * Operators' side of the start permit: takes data centres out and returns
 * them. A take-out is done when the scheduler of the data centre acknowledged
 * it, or when every permit that could have been given before has certainly
 * lapsed. Thread-safe.
 */
class DataCentreControl {
public:
    /** Table and write ids outlive the control. */
    DataCentreControl(Table&, WriteIds&, const ControlTiming& = {});

    /**
     * Writes the wish by compare-and-set. Repeating a wish that is in force
     * already changes nothing. Errors: Unavailable, OutcomeUnknown: ask again.
     */
    Result<ServiceOutcome> change(const ServiceWish&, std::int64_t wallClock, Time deadline);

    /** How far the newest change has come. Errors: Unavailable. */
    Result<ServiceStatus> status(const DataCentreId&, Time deadline);

private:
    void known(const DataCentreId&, std::uint64_t version);

    Table& table_;
    WriteIds& writeIds_;
    ControlTiming timing_;
    std::mutex mutex_;
    std::map<DataCentreId, ServiceWatch> watches_;
};

}
