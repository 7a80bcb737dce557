#include "control/datacentrecontrol.h"

#include "state/rowkeys.h"

namespace fescuecleat {

namespace {

    /** True if the row already has the requested content. */
    bool isAlreadyInForce(const ServiceRecord& record, const ServiceChange& requested)
    {
        if (requested.isInService_)
            return record.isInService_;
        return !record.isInService_ && record.drainMillis_ == std::chrono::duration_cast<std::chrono::milliseconds>(requested.drain_).count();
    }

    ServiceRecord recordFor(const ServiceChange& requested, std::int64_t wallClockMs)
    {
        ServiceRecord record;
        record.isInService_ = requested.isInService_;
        record.by_ = requested.by_;
        record.reason_ = requested.reason_;
        record.changedAt_ = wallClockMs;
        record.drainMillis_ = std::chrono::duration_cast<std::chrono::milliseconds>(requested.drain_).count();
        return record;
    }

}

DataCentreControl::DataCentreControl(Table& table, WriteIds& writeIds, const ControlTiming& timing)
    : table_(table)
    , writeIds_(writeIds)
    , timing_(timing)
{
}

Result<ServiceOutcome> DataCentreControl::change(const ServiceChange& requested, std::int64_t wallClockMs, Time deadline)
{
    const std::string key = rowkeys::service(requested.dataCentre_);
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
    // Also answers a change that is repeated after its answer was lost.
    if (isAlreadyInForce(current, requested))
        return ServiceOutcome { ServiceWritten { row->version_ } };
    if (requested.basedOn_ && *requested.basedOn_ != row->version_)
        return ServiceOutcome { ServiceConflict { current, row->version_ } };

    Transaction transaction;
    transaction.writeId_ = writeIds_.next();
    transaction.conditions_.push_back({ key, row->version_ });
    transaction.writes_.push_back({ key, writeServiceRecord(recordFor(requested, wallClockMs)) });
    const Result<CommitOutcome> outcome = table_.commit(transaction, deadline);
    if (!outcome)
        return tl::unexpected<Error>(outcome.error());
    if (const auto* committed = std::get_if<Committed>(&*outcome)) {
        noteVersion(requested.dataCentre_, committed->revision_);
        return ServiceOutcome { ServiceWritten { committed->revision_ } };
    }
    const Result<Row> winner = table_.read(key, deadline);
    if (!winner)
        return tl::unexpected<Error>(winner.error());
    const Result<ServiceRecord> parsed = parseServiceRecord(winner->value_, key);
    if (!parsed)
        return tl::unexpected<Error>(parsed.error());
    return ServiceOutcome { ServiceConflict { *parsed, winner->version_ } };
}

Result<ServiceStatus> DataCentreControl::status(const DataCentreId& dataCentre, Time deadline)
{
    const Result<RowScan> scan = table_.scan(rowkeys::control(dataCentre), deadline);
    if (!scan)
        return tl::unexpected<Error>(scan.error());
    const Result<ControlRows> rows = parseControlRows(scan->rows_, dataCentre);
    if (!rows)
        return tl::unexpected<Error>(rows.error());
    noteVersion(dataCentre, rows->serviceVersion_);
    ServiceStatus status;
    status.record_ = rows->service_;
    status.version_ = rows->serviceVersion_;
    status.isAcknowledged_ = ServiceWatch::isAcknowledged(*rows);
    const std::lock_guard<std::mutex> lock(mutex_);
    status.progress_ = watches_.at(dataCentre).progress(*rows, monotonicNow());
    return status;
}

void DataCentreControl::noteVersion(const DataCentreId& dataCentre, std::uint64_t version)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    watches_.emplace(dataCentre, ServiceWatch(timing_)).first->second.noteVersion(version, monotonicNow());
}

}
