#include "state/snapshotstore.h"

#include "state/rowkeys.h"

#include <algorithm>
#include <functional>

namespace fescuecleat {

namespace {

    /** The newest snapshot and its predecessor, in case the newest is unreadable. */
    constexpr std::size_t maxSnapshots = 2;
    constexpr std::size_t numberDigits = 19;

    std::string zeroPadded(std::uint64_t number)
    {
        const std::string digits = std::to_string(number);
        return std::string(numberDigits > digits.size() ? numberDigits - digits.size() : 0, '0') + digits;
    }

    std::string snapshotPrefix(const DataCentreId& dataCentre)
    {
        return "snapshot/" + rowkeys::escaped(dataCentre.value()) + "/";
    }

}

std::string snapshotName(const Snapshot& snapshot)
{
    return snapshotPrefix(snapshot.dataCentre_) + zeroPadded(snapshot.epoch_) + "-" + zeroPadded(snapshot.revision_);
}

Result<std::vector<std::string>> SnapshotStore::namesNewestFirst(const DataCentreId& dataCentre, Time deadline)
{
    Result<std::vector<std::string>> names = objects_.list(snapshotPrefix(dataCentre), deadline);
    if (names)
        std::sort(names->begin(), names->end(), std::greater<>());
    return names;
}

Result<void> SnapshotStore::save(const Snapshot& snapshot, Time deadline)
{
    Result<void> written = objects_.put(snapshotName(snapshot), writeSnapshot(snapshot), deadline);
    if (!written)
        return written;
    const Result<std::vector<std::string>> names = namesNewestFirst(snapshot.dataCentre_, deadline);
    if (!names)
        return tl::unexpected<Error>(names.error());
    for (std::size_t i = maxSnapshots; i < names->size(); ++i) {
        Result<void> removed = objects_.remove((*names)[i], deadline);
        if (!removed)
            return removed;
    }
    return {};
}

Result<std::optional<Snapshot>> SnapshotStore::loadNewest(const DataCentreId& dataCentre, Time deadline)
{
    const Result<std::vector<std::string>> names = namesNewestFirst(dataCentre, deadline);
    if (!names)
        return tl::unexpected<Error>(names.error());
    for (const std::string& name : *names) {
        const Result<std::string> text = objects_.get(name, deadline);
        if (!text && text.error().kind_ != ErrorKind::NotFound)
            return tl::unexpected<Error>(text.error());
        if (!text)
            continue;
        Result<Snapshot> snapshot = parseSnapshot(*text, name);
        if (snapshot && snapshot->dataCentre_ == dataCentre)
            return std::optional<Snapshot>(std::move(*snapshot));
    }
    return std::optional<Snapshot>();
}

}
