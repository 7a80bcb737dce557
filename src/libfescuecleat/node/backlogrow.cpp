#include "node/backlogrow.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace fescuecleat {

namespace {

    using Json = nlohmann::json;

    /** Work in the row is rounded down to milliseconds of the whole pool. */
    std::int64_t toRow(double poolSeconds) { return static_cast<std::int64_t>(std::floor(poolSeconds * 1000)); }
    double fromRow(const Json& value) { return static_cast<double>(value.get<std::int64_t>()) / 1000; }

    /** Encodes the entries with at least so much work. */
    std::string encode(const PublishedBacklog& published, double minWork)
    {
        const Backlog& backlog = published.backlog_;
        Json json { { "atMs", published.atMs_ }, { "rate", toRow(backlog.rate_) }, { "bestRate", toRow(backlog.bestRate_) } };
        json["pool"] = { backlog.pool_.cpuMillis_, backlog.pool_.memoryMb_, backlog.pool_.accelerators_ };
        json["running"] = Json::array();
        for (const auto& [priority, work] : backlog.runningWork_)
            json["running"].push_back({ priority, toRow(work) });
        json["urgent"] = backlog.urgentAccelerators_;
        json["waiting"] = Json::object();
        for (const auto& [queue, organisations] : backlog.waiting_) {
            for (const auto& [organisation, entries] : organisations) {
                for (const BacklogEntry& entry : entries) {
                    if (entry.work_ >= minWork)
                        json["waiting"][queue][organisation].push_back({ entry.priority_, static_cast<int>(entry.place_), entry.latestStartMs_, entry.expiryMs_, toRow(entry.work_) });
                }
            }
        }
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

}

std::string encodeBacklog(const PublishedBacklog& published, std::size_t maxBytes)
{
    std::string text = encode(published, 0);
    for (double minWork = 0.001; text.size() > maxBytes && minWork < 1e6; minWork *= 4)
        text = encode(published, minWork);
    return text;
}

std::optional<PublishedBacklog> decodeBacklog(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        PublishedBacklog published;
        Backlog& backlog = published.backlog_;
        published.atMs_ = json.at("atMs").get<std::int64_t>();
        backlog.rate_ = fromRow(json.at("rate"));
        backlog.bestRate_ = fromRow(json.at("bestRate"));
        backlog.pool_ = { json.at("pool").at(0).get<std::int64_t>(), json.at("pool").at(1).get<std::int64_t>(), json.at("pool").at(2).get<std::int64_t>() };
        for (const Json& running : json.at("running"))
            backlog.runningWork_[running.at(0).get<int>()] = fromRow(running.at(1));
        backlog.urgentAccelerators_ = json.at("urgent").get<std::map<std::string, std::int64_t>>();
        for (const auto& [queue, organisations] : json.at("waiting").items()) {
            for (const auto& [organisation, entries] : organisations.items()) {
                for (const Json& entry : entries)
                    backlog.waiting_[queue][organisation].push_back({ entry.at(0).get<int>(), static_cast<BacklogPlace>(std::clamp(entry.at(1).get<int>(), 0, static_cast<int>(BacklogPlace::Behind))), entry.at(2).get<std::int64_t>(), entry.at(3).get<std::int64_t>(), fromRow(entry.at(4)) });
            }
        }
        return published;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}
