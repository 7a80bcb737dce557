#include "control/configurationcontrol.h"

#include "state/rowkeys.h"

#include <algorithm>
#include <utility>

namespace fescuecleat {

namespace {

    tl::unexpected<Error> forwardError(const Error& error)
    {
        return tl::unexpected<Error>(error);
    }

    ConfigurationVersion nextVersion(const ConfigurationChange& requested, std::int64_t wallClockMs)
    {
        return { { requested.basedOn_ + 1, requested.by_, wallClockMs }, requested.reason_, requested.base_, requested.overlays_ };
    }

    bool matchesChange(const ConfigurationVersion& version, const ConfigurationChange& requested)
    {
        return version == nextVersion(requested, version.head_.changedAt_);
    }

}

std::vector<DataCentreId> ConfigurationProgress::missing(std::uint64_t version) const
{
    std::vector<DataCentreId> dataCentres;
    for (const auto& [dataCentre, inForce] : inForce_) {
        if (inForce < version)
            dataCentres.push_back(dataCentre);
    }
    return dataCentres;
}

ConfigurationControl::ConfigurationControl(Table& table, WriteIds& writeIds)
    : table_(table)
    , writeIds_(writeIds)
{
}

Result<ConfigurationHead> ConfigurationControl::head(Time deadline)
{
    const Result<Row> row = table_.read(rowkeys::configuration(), deadline);
    if (!row)
        return forwardError(row.error());
    if (row->version_ == 0)
        return ConfigurationHead {};
    return parseConfigurationHead(row->value_, row->key_);
}

Result<ConfigurationVersion> ConfigurationControl::load(std::uint64_t version, Time deadline)
{
    const Result<Row> row = table_.read(rowkeys::configurationVersion(version), deadline);
    if (!row)
        return forwardError(row.error());
    if (row->version_ == 0)
        return failure(ErrorKind::NotFound, "configuration version " + std::to_string(version) + " does not exist or was removed by compaction", "list the history and ask for a version that is kept");
    return parseConfigurationVersion(row->value_, row->key_);
}

Result<ConfigurationOutcome> ConfigurationControl::apply(const ConfigurationChange& requested, std::int64_t wallClockMs, Time deadline)
{
    const Result<Row> row = table_.read(rowkeys::configuration(), deadline);
    if (!row)
        return forwardError(row.error());
    ConfigurationHead current;
    if (row->version_ != 0) {
        const Result<ConfigurationHead> parsed = parseConfigurationHead(row->value_, row->key_);
        if (!parsed)
            return forwardError(parsed.error());
        current = *parsed;
    }
    if (current.version_ != requested.basedOn_)
        return resolveConflict(requested, deadline);

    const ConfigurationVersion version = nextVersion(requested, wallClockMs);
    const std::string contentKey = rowkeys::configurationVersion(version.head_.version_);
    Transaction transaction;
    transaction.writeId_ = writeIds_.next();
    transaction.conditions_.push_back({ rowkeys::configuration(), row->version_ });
    transaction.conditions_.push_back({ contentKey, 0 });
    transaction.writes_.push_back({ rowkeys::configuration(), writeConfigurationHead(version.head_) });
    transaction.writes_.push_back({ contentKey, writeConfigurationVersion(version) });
    const Result<CommitOutcome> outcome = table_.commit(transaction, deadline);
    if (!outcome)
        return forwardError(outcome.error());
    if (std::holds_alternative<Committed>(*outcome))
        return ConfigurationOutcome { ConfigurationWritten { version.head_.version_ } };
    return resolveConflict(requested, deadline);
}

/**
 * The version that follows basedOn_ exists already. Compares its content to find
 * out whether an earlier attempt of this change wrote it or another change did.
 */
Result<ConfigurationOutcome> ConfigurationControl::resolveConflict(const ConfigurationChange& requested, Time deadline)
{
    const Result<ConfigurationHead> newest = head(deadline);
    if (!newest)
        return forwardError(newest.error());
    const Result<ConfigurationVersion> next = load(requested.basedOn_ + 1, deadline);
    if (next && matchesChange(*next, requested))
        return ConfigurationOutcome { ConfigurationWritten { next->head_.version_ } };
    if (!next && next.error().kind_ != ErrorKind::NotFound)
        return forwardError(next.error());
    return ConfigurationOutcome { ConfigurationConflict { *newest } };
}

Result<std::vector<ConfigurationVersion>> ConfigurationControl::history(Time deadline)
{
    const Result<RowScan> scan = table_.scan(rowkeys::configurationVersions(), deadline);
    if (!scan)
        return forwardError(scan.error());
    std::vector<ConfigurationVersion> versions;
    for (const Row& row : scan->rows_) {
        Result<ConfigurationVersion> version = parseConfigurationVersion(row.value_, row.key_);
        if (!version)
            return forwardError(version.error());
        versions.push_back(std::move(*version));
    }
    std::sort(versions.begin(), versions.end(), [](const ConfigurationVersion& a, const ConfigurationVersion& b) { return a.head_.version_ < b.head_.version_; });
    return versions;
}

Result<void> ConfigurationControl::confirm(std::uint64_t version, const LeaseFence& fence, Time deadline)
{
    const std::string key = rowkeys::configurationInForce(fence.dataCentre_);
    const Result<Row> row = table_.read(key, deadline);
    if (!row)
        return forwardError(row.error());
    if (row->version_ != 0) {
        const Result<std::uint64_t> confirmed = parseConfigurationInForce(row->value_, key);
        if (!confirmed)
            return forwardError(confirmed.error());
        if (*confirmed >= version)
            return {};
    }
    Transaction transaction;
    transaction.writeId_ = writeIds_.next();
    transaction.conditions_.push_back({ rowkeys::lease(fence.dataCentre_), fence.rowVersion_ });
    transaction.conditions_.push_back({ key, row->version_ });
    transaction.writes_.push_back({ key, writeConfigurationInForce(version) });
    const Result<CommitOutcome> outcome = table_.commit(transaction, deadline);
    if (!outcome)
        return forwardError(outcome.error());
    if (std::holds_alternative<Conflicted>(*outcome))
        return failure(ErrorKind::Conflict, "the scheduler lease or the confirmed version changed since it was read", "confirm again under the current lease");
    return {};
}

Result<ConfigurationProgress> ConfigurationControl::progress(const std::vector<DataCentreId>& dataCentres, Time deadline)
{
    const Result<ConfigurationHead> newest = head(deadline);
    if (!newest)
        return forwardError(newest.error());
    const Result<RowScan> scan = table_.scan(rowkeys::configurationsInForce(), deadline);
    if (!scan)
        return forwardError(scan.error());
    ConfigurationProgress progress;
    progress.head_ = *newest;
    for (const DataCentreId& dataCentre : dataCentres) {
        progress.inForce_[dataCentre] = 0;
        for (const Row& row : scan->rows_) {
            if (row.key_ != rowkeys::configurationInForce(dataCentre))
                continue;
            const Result<std::uint64_t> version = parseConfigurationInForce(row.value_, row.key_);
            if (!version)
                return forwardError(version.error());
            progress.inForce_[dataCentre] = *version;
        }
    }
    return progress;
}

Result<std::size_t> ConfigurationControl::compact(std::size_t keep, Time deadline)
{
    const Result<RowScan> scan = table_.scan(rowkeys::configurationVersions(), deadline);
    if (!scan)
        return forwardError(scan.error());
    std::vector<std::string> keys;
    keys.reserve(scan->rows_.size());
    for (const Row& row : scan->rows_)
        keys.push_back(row.key_);
    std::sort(keys.begin(), keys.end());
    if (keys.size() <= keep)
        return 0;
    keys.resize(keys.size() - keep);
    Transaction transaction;
    transaction.writeId_ = writeIds_.next();
    for (const std::string& key : keys)
        transaction.writes_.push_back({ key, std::nullopt });
    const Result<CommitOutcome> outcome = table_.commit(transaction, deadline);
    if (!outcome)
        return forwardError(outcome.error());
    return keys.size();
}

}
