#include "pool/pooljobrecord.h"

#include <nlohmann/json.hpp>

namespace fescuecleat {

using Json = nlohmann::json;

std::string encodePoolJobRecord(const PoolJobRecord& record)
{
    Json units = Json::array();
    for (const UnitRecord& unit : record.units_) {
        Json placements = Json::array();
        for (const PlacementRecord& placement : unit.placements_)
            placements.push_back({ placement.index_, placement.worker_.id_, placement.worker_.startedUnixMs_ });
        units.push_back({ unit.occurrence_, unit.step_, unit.index_, unit.lastRun_, unit.failures_, unit.isDone_, unit.checkpoint_, std::move(placements) });
    }
    return Json { { "state", static_cast<int>(record.state_) }, { "units", std::move(units) } }.dump();
}

bool decodePoolJobRecord(const std::string& text, PoolJobRecord& record)
{
    try {
        const Json json = Json::parse(text);
        const int state = json.at("state").get<int>();
        if (state < static_cast<int>(PoolJobState::Queued) || state > static_cast<int>(PoolJobState::Cancelled))
            return false;
        record.state_ = static_cast<PoolJobState>(state);
        for (const Json& row : json.at("units")) {
            UnitRecord unit { row.at(0), row.at(1), row.at(2), row.at(3), row.at(4), row.at(5), row.at(6), {} };
            for (const Json& placement : row.at(7))
                unit.placements_.push_back({ placement.at(0), { placement.at(1), placement.at(2) } });
            record.units_.push_back(std::move(unit));
        }
        return true;
    } catch (const Json::exception&) {
        return false;
    }
}

}
