#include "node/poolleaserecord.h"

#include <nlohmann/json.hpp>

namespace fescuecleat {

using Json = nlohmann::json;

std::string encodePoolLease(const PoolLeaseRecord& lease)
{
    return Json { { "holder", lease.holder_ }, { "epoch", lease.epoch_ }, { "untilMs", lease.untilMs_ } }.dump();
}

std::optional<PoolLeaseRecord> decodePoolLease(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        return PoolLeaseRecord { json.at("holder"), json.at("epoch"), json.at("untilMs") };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}
