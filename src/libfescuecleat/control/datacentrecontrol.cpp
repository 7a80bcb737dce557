#include "control/datacentrecontrol.h"

#include "state/rowkeys.h"

namespace fescuecleat {

namespace {

    /** True if the row says already what the wish asks for. */
    bool isInForce(const ServiceRecord& record, const ServiceWish& wish)
    {
        if (wish.isInService_)
            return record.isInService_;
        return !record.isInService_ && record.drainMillis_ == std::chrono::duration_cast<std::chrono::milliseconds>(wish.drain_).count();
    }

    ServiceRecord wanted(const ServiceWish& wish, std::int64_t wallClock)
    {
        ServiceRecord record;
        record.isInService_ = wish.isInService_;
        record.by_ = wish.by_;
        record.reason_ = wish.reason_;
        record.changedAt_ = wallClock;
        record.drainMillis_ = std::chrono::duration_cast<std::chrono::milliseconds>(wish.drain_).count();
        return record;
    }

}

DataCentreControl::DataCentreControl(Table& table, WriteIds& writeIds, const ControlTiming& timing)
    : table_(table)
    , writeIds_(writeIds)
    , timing_(timing)
{
}

Result<ServiceOutcome> DataCentreControl::change(const ServiceWish& wish, std::int64_t wallClock, Time deadline)
{
    const std::string key = rowkeys::service(wish.dataCentre_);
    const Result<Row> row = table_.read(key, deadline);
    if (!row)
        return tl::unexpected<Error>(row.error());
    ServiceRecord current;
    if (row->version_ != 0) {
        const Result<ServiceRecord> parsed = parseServiceRecord(row->value_, key);
        if (!parsed)
            return tl::unexpected<Error>(parsed.error());
        current = *parsed;
    }
    // An operator who repeats a wish after a lost answer finds it in force.
    if (isInForce(current, wish))
        return ServiceOutcome { ServiceChanged { row->version_ } };
    if (wish.basedOn_ && *wish.basedOn_ != row->version_)
        return ServiceOutcome { ServiceRaced { current, row->version_ } };

    Transaction transaction;
    transaction.writeId_ = writeIds_.next();
    transaction.conditions_.push_back({ key, row->version_ });
    transaction.writes_.push_back({ key, writeServiceRecord(wanted(wish, wallClock)) });
    const Result<CommitOutcome> outcome = table_.commit(transaction, deadline);
    if (!outcome)
        return tl::unexpected<Error>(outcome.error());
    if (const auto* committed = std::get_if<Committed>(&*outcome)) {
        known(wish.dataCentre_, committed->revision_);
        return ServiceOutcome { ServiceChanged { committed->revision_ } };
    }
    const Result<Row> winner = table_.read(key, deadline);
    if (!winner)
        return tl::unexpected<Error>(winner.error());
    const Result<ServiceRecord> parsed = parseServiceRecord(winner->value_, key);
    if (!parsed)
        return tl::unexpected<Error>(parsed.error());
    return ServiceOutcome { ServiceRaced { *parsed, winner->version_ } };
}

Result<ServiceStatus> DataCentreControl::status(const DataCentreId& dataCentre, Time deadline)
{
    const Result<RowScan> scan = table_.scan(rowkeys::control(dataCentre), deadline);
    if (!scan)
        return tl::unexpected<Error>(scan.error());
    const Result<ControlRows> rows = parseControlRows(scan->rows_, dataCentre);
    if (!rows)
        return tl::unexpected<Error>(rows.error());
    known(dataCentre, rows->serviceVersion_);
    ServiceStatus status;
    status.record_ = rows->service_;
    status.version_ = rows->serviceVersion_;
    status.isAcknowledged_ = ServiceWatch::isAcknowledged(*rows);
    const std::lock_guard<std::mutex> lock(mutex_);
    status.progress_ = watches_.at(dataCentre).progress(*rows, monotonicNow());
    return status;
}

void DataCentreControl::known(const DataCentreId& dataCentre, std::uint64_t version)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    watches_.emplace(dataCentre, ServiceWatch(timing_)).first->second.known(version, monotonicNow());
}

}
