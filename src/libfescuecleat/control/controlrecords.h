#pragma once

#include "base/id.h"
#include "base/result.h"
#include "platform/row.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** Who schedules a data centre. Written when the epoch begins and when the holder hands it over. */
struct LeaseRecord {
    /** Empty: handed over, the next candidate need not wait. */
    InstanceId holder_;
    std::uint64_t epoch_ = 0;
    /** Write id of the acquisition, by which a holder knows its own after a lost answer. */
    std::string claim_;

    bool operator==(const LeaseRecord& other) const { return std::tie(holder_, epoch_, claim_) == std::tie(other.holder_, other.epoch_, other.claim_); }
};

/** Whether operators have a data centre in service. A missing row means in service. */
struct ServiceRecord {
    bool isInService_ = true;
    /** Who asked for it. */
    std::string by_;
    std::string reason_;
    /** Wall clock in milliseconds since 1970, for people. */
    std::int64_t changedAt_ = 0;
    /** Time that running work gets to end, counted from when the scheduler sees the row. */
    std::int64_t drainMillis_ = 0;

    bool operator==(const ServiceRecord& other) const
    {
        return std::tie(isInService_, by_, reason_, changedAt_, drainMillis_) == std::tie(other.isInService_, other.by_, other.reason_, other.changedAt_, other.drainMillis_);
    }
};

/** The scheduler's word that no start can follow the change of the service row. */
struct ServiceAcknowledgement {
    /** Version of the service row that it saw. */
    std::uint64_t serviceVersion_ = 0;
    std::uint64_t epoch_ = 0;

    bool operator==(const ServiceAcknowledgement& other) const { return std::tie(serviceVersion_, epoch_) == std::tie(other.serviceVersion_, other.epoch_); }
};

/** The control rows of a data centre as one scan showed them. */
struct ControlRows {
    LeaseRecord lease_;
    /** 0: nobody ever held the lease. */
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

/** Format of the control rows that this program writes. */
constexpr int controlRecordFormat = 1;

std::string writeLeaseRecord(const LeaseRecord&);
std::string writeServiceRecord(const ServiceRecord&);
std::string writeServiceAcknowledgement(const ServiceAcknowledgement&);
std::string writeHeartbeat(const LeaseRecord&);

Result<LeaseRecord> parseLeaseRecord(const std::string& text, const std::string& location);
Result<ServiceRecord> parseServiceRecord(const std::string& text, const std::string& location);
Result<ServiceAcknowledgement> parseServiceAcknowledgement(const std::string& text, const std::string& location);

/** Picks the control rows of the data centre out of a scan. */
Result<ControlRows> parseControlRows(const std::vector<Row>&, const DataCentreId&);

}
