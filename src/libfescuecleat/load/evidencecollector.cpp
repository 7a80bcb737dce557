#include "load/evidencecollector.h"

#include "json/json.h"

#include <algorithm>
#include <fstream>

namespace fescuecleat {

namespace {

    constexpr Duration fetchTimeout = std::chrono::seconds(30);
    constexpr std::uint64_t endOfLog = ~std::uint64_t { 0 } >> 1U;
    constexpr int statusOk = 200;

    std::string stringMember(const JsonValue& value, const std::string& name)
    {
        std::string text;
        if (const JsonValue* member = value.findMember(name))
            member->getValue(text);
        return text;
    }

    Time timestampOf(const JsonValue& value)
    {
        std::int64_t microseconds = 0;
        if (const JsonValue* member = value.findMember("at_us"))
            member->getValue(microseconds);
        return Time(Duration(microseconds));
    }

}

std::vector<EvidenceCollector::Source> EvidenceCollector::sources() const
{
    std::vector<Source> all { { testbed_.platformFaultAddress_, LogSource::Platform, "" } };
    for (const TestbedDataCentre& dataCentre : testbed_.dataCentres_) {
        all.push_back({ dataCentre.workersFaultAddress_, LogSource::Worker, dataCentre.name_ });
        all.push_back({ dataCentre.minionsFaultAddress_, LogSource::Minion, dataCentre.name_ });
    }
    return all;
}

Result<LogPage> EvidenceCollector::fetch(const Source& source, std::uint64_t since)
{
    HttpRequest request;
    request.path_ = "/log";
    request.query_["since"] = std::to_string(since);
    const auto response = client_.send(source.address_, request, monotonicNow() + fetchTimeout, false);
    if (!response || response->status_ != statusOk)
        return failure(ErrorKind::Unavailable, "the log of a stand-in can't be read", "check that the testbed runs", toString(source.address_));
    return parseLogPage(response->body_, source.kind_, source.dataCentre_);
}

Result<void> EvidenceCollector::markLogEnds()
{
    for (const Source& source : sources()) {
        const Result<LogPage> page = fetch(source, endOfLog);
        if (!page)
            return tl::unexpected<Error>(page.error());
        nextSequence_[toString(source.address_)] = page->next_;
        droppedAtMark_[toString(source.address_)] = page->dropped_;
    }
    return {};
}

Result<void> EvidenceCollector::collect(Evidence& evidence)
{
    for (const Source& source : sources()) {
        const std::string address = toString(source.address_);
        Result<LogPage> page = fetch(source, nextSequence_[address]);
        if (!page)
            return tl::unexpected<Error>(page.error());
        // Entries dropped before the mark belong to earlier repeats.
        if (page->dropped_ > nextSequence_[address])
            evidence.droppedLogEntries_ += page->dropped_ - nextSequence_[address];
        nextSequence_[address] = page->next_;
        evidence.log_.insert(evidence.log_.end(), page->entries_.begin(), page->entries_.end());
    }
    std::stable_sort(evidence.log_.begin(), evidence.log_.end(), [](const LogEntry& a, const LogEntry& b) { return a.at_ < b.at_; });
    readJournal(evidence);
    return {};
}

void EvidenceCollector::readJournal(Evidence& evidence) const
{
    std::ifstream file(testbed_.journal_);
    std::string line;
    while (std::getline(file, line)) {
        const Result<JsonValue> value = parseJson(line);
        if (!value)
            continue;
        const std::string entry = stringMember(*value, "entry");
        if (stringMember(*value, "event") == "stop")
            evidence.plannedStops_.push_back({ entry, timestampOf(*value), Time::max() });
        if (stringMember(*value, "event") != "stopped")
            continue;
        for (PlannedStop& stop : evidence.plannedStops_) {
            if (stop.entry_ == entry && stop.endedAt_ == Time::max())
                stop.endedAt_ = timestampOf(*value);
        }
    }
}

}
