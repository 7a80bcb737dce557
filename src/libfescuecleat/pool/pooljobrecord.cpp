#include "pool/pooljobrecord.h"

#include <nlohmann/json.hpp>

namespace fescuecleat {

using Json = nlohmann::json;

namespace {

    Json encodeCrashes(const std::vector<CrashRecord>& records)
    {
        Json crashes = Json::array();
        for (const CrashRecord& record : records)
            crashes.push_back({ record.index_, record.crashes_.total_, record.crashes_.atStart_, record.crashes_.machines_, record.crashes_.lastRun_, wholeMilliseconds(record.crashes_.longestRun_) });
        return crashes;
    }

    CrashRecord decodeCrash(const Json& row)
    {
        return { row.at(0), { row.at(1), row.at(2), row.at(3), row.at(4), std::chrono::milliseconds(row.at(5).get<std::int64_t>()) } };
    }

    /** Records of earlier versions have no machine. */
    PlacementRecord decodePlacement(const Json& row)
    {
        return { row.at(0), { row.at(1), row.at(2) }, row.size() > 3 ? row.at(3).get<std::string>() : std::string() };
    }

    Json encodeUnit(const UnitRecord& unit)
    {
        Json placements = Json::array();
        for (const PlacementRecord& placement : unit.placements_)
            placements.push_back({ placement.index_, placement.worker_.id_, placement.worker_.startedUnixMs_, placement.machine_ });
        Json row { unit.occurrence_, unit.step_, unit.index_, unit.lastRun_, unit.failures_, unit.isDone_, unit.checkpoint_, std::move(placements) };
        if (!unit.crashes_.empty() || unit.lastFailedRun_ > 0)
            row.push_back(encodeCrashes(unit.crashes_));
        if (unit.lastFailedRun_ > 0)
            row.push_back(unit.lastFailedRun_);
        return row;
    }

    UnitRecord decodeUnit(const Json& row)
    {
        UnitRecord unit { row.at(0), row.at(1), row.at(2), row.at(3), row.at(4), row.at(5), row.at(6), {}, {} };
        for (const Json& placement : row.at(7))
            unit.placements_.push_back(decodePlacement(placement));
        if (row.size() > 8) {
            for (const Json& crash : row.at(8))
                unit.crashes_.push_back(decodeCrash(crash));
        }
        if (row.size() > 9)
            unit.lastFailedRun_ = row.at(9);
        return unit;
    }

    Json encodeTasks(const std::vector<UnitRecord>& units, const std::vector<TaskRange>& done)
    {
        Json json { { "units", Json::array() } };
        for (const UnitRecord& unit : units)
            json["units"].push_back(encodeUnit(unit));
        for (const TaskRange& range : done)
            json["done"].push_back({ range.first_, range.last_ });
        return json;
    }

    /** Records of earlier versions have no ranges, but an entry for each task that is done. */
    void decodeTasks(const Json& json, PoolJobRecord& record)
    {
        for (const Json& row : json.at("units"))
            record.units_.push_back(decodeUnit(row));
        for (const Json& range : json.value("done", Json::array()))
            record.done_.push_back({ range.at(0), range.at(1) });
    }

    std::string dump(const Json& json)
    {
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

}

void PoolJobRecord::addDone(TaskRange range)
{
    if (!done_.empty() && done_.back().last_ + 1 == range.first_)
        done_.back().last_ = range.last_;
    else
        done_.push_back(range);
}

std::string encodePoolJobRecord(const PoolJobRecord& record)
{
    Json json = encodeTasks(record.units_, record.done_);
    json["state"] = static_cast<int>(record.state_);
    if (record.endedMs_ > 0)
        json["endedMs"] = record.endedMs_;
    return dump(json);
}

std::string encodePoolJobTasks(const std::vector<UnitRecord>& units, const std::vector<TaskRange>& done)
{
    return dump(encodeTasks(units, done));
}

bool decodePoolJobRecord(const std::string& text, PoolJobRecord& record)
{
    try {
        const Json json = Json::parse(text);
        const int state = json.at("state").get<int>();
        if (state < static_cast<int>(PoolJobState::Queued) || state > static_cast<int>(PoolJobState::Cancelled))
            return false;
        record.state_ = static_cast<PoolJobState>(state);
        record.endedMs_ = json.value("endedMs", std::int64_t(0));
        decodeTasks(json, record);
        return true;
    } catch (const Json::exception&) {
        return false;
    }
}

bool decodePoolJobTasks(const std::string& text, PoolJobRecord& record)
{
    try {
        decodeTasks(Json::parse(text), record);
        return true;
    } catch (const Json::exception&) {
        return false;
    }
}

}
