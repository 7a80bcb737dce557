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

/** A request to take a data centre out of service or to return it. */
struct ServiceChange {
    DataCentreId dataCentre_;
    bool isInService_ = true;
    std::string by_;
    std::string reason_;
    /** Drain time of running tasks; ignored when the data centre is returned to service. */
    Duration drain_ { 0 };
    /** Expected version of the service row; any if empty. */
    std::optional<std::uint64_t> basedOn_;
};

/** The change is durable in this version of the service row. */
struct ServiceWritten {
    std::uint64_t version_ = 0;
};

/** Another change was written first; this one had no effect. */
struct ServiceConflict {
    ServiceRecord current_;
    std::uint64_t version_ = 0;
};

using ServiceOutcome = std::variant<ServiceWritten, ServiceConflict>;

/** State of the newest change of the service row. */
struct ServiceStatus {
    ServiceRecord record_;
    std::uint64_t version_ = 0;
    ServiceProgress progress_ = ServiceProgress::Pending;
    /** True if the scheduler acknowledged the change; false if it is done only because the start permits expired. */
    bool isAcknowledged_ = false;
};

/**
 * Takes data centres out of service and returns them. Taking one out is done
 * when its scheduler has acknowledged the change, or when every start permit
 * obtained before the change has expired. Thread-safe.
 */
class DataCentreControl {
public:
    /** Table and write ids must outlive this object. */
    DataCentreControl(Table&, WriteIds&, const ControlTiming& = {});

    /**
     * Writes the change by compare-and-set. Repeating a change that is in
     * effect already writes nothing. Errors: Unavailable (nothing was written),
     * OutcomeUnknown (repeat the change).
     */
    Result<ServiceOutcome> change(const ServiceChange&, std::int64_t wallClockMs, Time deadline);

    /** Progress of the newest change. Errors: Unavailable. */
    Result<ServiceStatus> status(const DataCentreId&, Time deadline);

private:
    void noteVersion(const DataCentreId&, std::uint64_t version);

    Table& table_;
    WriteIds& writeIds_;
    ControlTiming timing_;
    std::mutex mutex_;
    std::map<DataCentreId, ServiceWatch> watches_;
};

}
