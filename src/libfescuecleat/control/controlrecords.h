#pragma once

#include "base/id.h"
#include "base/result.h"
#include "platform/row.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** Holder and epoch of the scheduler lease of a data centre. Written when an epoch begins and when the holder hands over. */
struct LeaseRecord {
    /** Empty after a handover: the next candidate may acquire at once. */
    InstanceId holder_;
    std::uint64_t epoch_ = 0;
    /** Write id of the acquisition; shows a candidate whose answer was lost that the lease is its own. */
    std::string acquisitionId_;

    bool operator==(const LeaseRecord& other) const { return std::tie(holder_, epoch_, acquisitionId_) == std::tie(other.holder_, other.epoch_, other.acquisitionId_); }
};

/** Whether a data centre is in service. A missing row means in service. */
struct ServiceRecord {
    bool isInService_ = true;
    /** Operator who made the change. */
    std::string by_;
    std::string reason_;
    /** Wall clock in milliseconds since 1970; only displayed. */
    std::int64_t changedAt_ = 0;
    /** Drain time of running tasks, counted from when the scheduler reads the row. */
    std::int64_t drainMillis_ = 0;

    bool operator==(const ServiceRecord& other) const
    {
        return std::tie(isInService_, by_, reason_, changedAt_, drainMillis_) == std::tie(other.isInService_, other.by_, other.reason_, other.changedAt_, other.drainMillis_);
    }
};

/** Written by the scheduler once no task can start any more after a change of the service row. */
struct ServiceAcknowledgement {
    /** Version of the acknowledged service row. */
    std::uint64_t serviceVersion_ = 0;
    std::uint64_t epoch_ = 0;

    bool operator==(const ServiceAcknowledgement& other) const { return std::tie(serviceVersion_, epoch_) == std::tie(other.serviceVersion_, other.epoch_); }
};

/** The control rows of a data centre, read by one scan. */
struct ControlRows {
    LeaseRecord lease_;
    /** 0 if the lease was never held. */
    std::uint64_t leaseVersion_ = 0;
    std::uint64_t heartbeatVersion_ = 0;
    ServiceRecord service_;
    std::uint64_t serviceVersion_ = 0;
    ServiceAcknowledgement acknowledgement_;

    bool operator==(const ControlRows& other) const
    {
        return std::tie(lease_, leaseVersion_, heartbeatVersion_, service_, serviceVersion_, acknowledgement_)
            == std::tie(other.lease_, other.leaseVersion_, other.heartbeatVersion_, other.service_, other.serviceVersion_, other.acknowledgement_);
    }
};

/** Format number of control rows. */
constexpr int controlRecordFormat = 1;

std::string writeLeaseRecord(const LeaseRecord&);
std::string writeServiceRecord(const ServiceRecord&);
std::string writeServiceAcknowledgement(const ServiceAcknowledgement&);
std::string writeHeartbeat(const LeaseRecord&);

Result<LeaseRecord> parseLeaseRecord(const std::string& text, const std::string& location);
Result<ServiceRecord> parseServiceRecord(const std::string& text, const std::string& location);
Result<ServiceAcknowledgement> parseServiceAcknowledgement(const std::string& text, const std::string& location);

/** Selects and parses the control rows of the data centre. Errors: that of the last row that can't be parsed. */
Result<ControlRows> parseControlRows(const std::vector<Row>&, const DataCentreId&);

}
