#include "soakschedule.h"

#include "base/overloaded.h"
#include "node/storelayout.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <random>
#include <utility>

namespace fescuecleat::soak {

// The first entry stands for unknown names too, and no action has it.
NLOHMANN_JSON_SERIALIZE_ENUM(LinkMode, { { LinkMode::Forward, nullptr }, { LinkMode::Delay, "delay" }, { LinkMode::Reset, "reset" }, { LinkMode::Silent, "silent" }, { LinkMode::DropUpstream, "drop-upstream" }, { LinkMode::DropDownstream, "drop-downstream" } })

namespace {

    using Json = nlohmann::json;

    LinkMode linkModeOf(const Json& json)
    {
        const auto mode = json.at("mode").get<LinkMode>();
        if (mode == LinkMode::Forward)
            throw Json::other_error::create(500, "unknown mode " + json["mode"].dump(), &json);
        return mode;
    }

    Milliseconds milliseconds(const Json& json, const char* name)
    {
        constexpr std::int64_t max = 3600000;
        const std::int64_t value = json.at(name);
        if (value < 0 || value > max)
            throw Json::other_error::create(500, std::string(name) + " lies outside 0 to " + std::to_string(max), &json);
        return Milliseconds(value);
    }

    int index(const Json& json, const char* name, int least, int end)
    {
        const int value = json.at(name);
        if (value < least || value >= end)
            throw Json::other_error::create(500, std::string(name) + " is outside the deployment", &json);
        return value;
    }

    std::vector<int> instancesOf(const Json& json, const SoakSize& size)
    {
        std::vector<int> instances = json.at("instances");
        if (std::any_of(instances.begin(), instances.end(), [&size](int instance) { return instance < currentScheduler || instance >= size.instances_; }))
            throw Json::other_error::create(500, "instances are outside the deployment", &json);
        return instances;
    }

    Json encode(const Action& action)
    {
        return std::visit(Overloaded {
                              [](const RestartInstances& restart) -> Json {
                                  return { { "kind", "restart-instances" }, { "instances", restart.instances_ }, { "kill", restart.isKilled_ }, { "rolling", restart.isRolling_ }, { "downtimeMs", restart.downtime_.count() } };
                              },
                              [](const PauseInstances& pause) -> Json {
                                  return { { "kind", "pause-instances" }, { "instances", pause.instances_ }, { "forMs", pause.duration_.count() } };
                              },
                              [](const DisturbLinks& links) -> Json {
                                  return { { "kind", "disturb-links" }, { "instances", links.instances_ }, { "store", links.isStoreLink_ }, { "mode", links.mode_ }, { "delayMs", links.delay_.count() }, { "forMs", links.duration_.count() } };
                              },
                              [](const DisturbPlatform& platform) -> Json {
                                  return { { "kind", "disturb-platform" }, { "part", platform.part_ }, { "faults", platform.faults_ }, { "forMs", platform.duration_.count() } };
                              },
                              [](const RestartWorker& restart) -> Json {
                                  return { { "kind", "restart-worker" }, { "worker", restart.worker_ }, { "downtimeMs", restart.downtime_.count() }, { "label", restart.label_ }, { "service", restart.service_ } };
                              },
                              [](const HideWorker& hide) -> Json {
                                  return { { "kind", "hide-worker" }, { "worker", hide.worker_ }, { "forMs", hide.duration_.count() } };
                              },
                              [](const ResizeWorker& resize) -> Json {
                                  return { { "kind", "resize-worker" }, { "worker", resize.worker_ }, { "accelerators", resize.accelerators_ }, { "forMs", resize.duration_.count() } };
                              },
                              [](const ChangeConfiguration& change) -> Json {
                                  return { { "kind", "change-configuration" }, { "movedQueue", change.movedQueue_ }, { "withdrawnKey", change.withdrawnKey_ }, { "forMs", change.duration_.count() } };
                              },
                              [](const CloseDataCentre& close) -> Json {
                                  return { { "kind", "close-data-centre" }, { "dataCentre", close.dataCentre_ }, { "forMs", close.duration_.count() } };
                              },
                          },
            action);
    }

    Json encode(const TimedAction& timed)
    {
        Json json = encode(timed.action_);
        json["at"] = timed.at_.count();
        return json;
    }

    Action parseAction(const Json& json, const SoakSize& size)
    {
        const std::string kind = json.at("kind");
        if (kind == "restart-instances")
            return RestartInstances { instancesOf(json, size), json.at("kill"), json.at("rolling"), milliseconds(json, "downtimeMs") };
        if (kind == "pause-instances")
            return PauseInstances { instancesOf(json, size), milliseconds(json, "forMs") };
        if (kind == "disturb-links")
            return DisturbLinks { instancesOf(json, size), json.at("store"), linkModeOf(json), milliseconds(json, "delayMs"), milliseconds(json, "forMs") };
        if (kind == "disturb-platform")
            return DisturbPlatform { json.at("part"), json.at("faults"), milliseconds(json, "forMs") };
        if (kind == "restart-worker")
            return RestartWorker { index(json, "worker", 0, size.workers_), milliseconds(json, "downtimeMs"), json.at("label"), json.at("service") };
        if (kind == "hide-worker")
            return HideWorker { index(json, "worker", 0, size.workers_), milliseconds(json, "forMs") };
        if (kind == "resize-worker")
            return ResizeWorker { index(json, "worker", 0, size.workers_), index(json, "accelerators", 0, workerAccelerators + 1), milliseconds(json, "forMs") };
        if (kind == "change-configuration")
            return ChangeConfiguration { index(json, "movedQueue", -1, queueCount), index(json, "withdrawnKey", -1, organisationCount), milliseconds(json, "forMs") };
        if (kind == "close-data-centre")
            return CloseDataCentre { json.at("dataCentre"), milliseconds(json, "forMs") };
        throw Json::other_error::create(500, "unknown kind " + kind, &json);
    }

    /** Draws actions with the same results on every platform, which the library's distributions don't promise. */
    class Drawing {
    public:
        Drawing(std::uint32_t seed, const SoakSize& size)
            : random_(seed)
            , size_(size)
        {
        }

        int below(int end) { return static_cast<int>(random_() % static_cast<std::uint32_t>(end)); }
        int between(int least, int most) { return least + below(most - least + 1); }
        bool chance(int percent) { return below(100) < percent; }

        Action action()
        {
            const int kind = below(100);
            if (kind < 24)
                return restart();
            if (kind < 32)
                return PauseInstances { instances(2), time(200, 6000) };
            if (kind < 52)
                return links();
            if (kind < 62)
                return store();
            if (kind < 70)
                return workers();
            if (kind < 76)
                return ResizeWorker { below(size_.workers_), below(workerAccelerators), time(500, 9000) };
            if (kind < 83)
                return RestartWorker { below(size_.workers_), time(50, 4000), chance(50) ? "a" : "b", chance(40) ? services[static_cast<std::size_t>(below(2))] : "" };
            if (kind < 88)
                return HideWorker { below(size_.workers_), time(500, 8000) };
            if (kind < 95)
                return ChangeConfiguration { chance(60) ? below(queueCount) : -1, chance(60) ? below(organisationCount) : -1, time(1000, 9000) };
            return CloseDataCentre { dataCentres[static_cast<std::size_t>(below(3))], time(1000, 5000) };
        }

        Milliseconds time(int least, int most) { return Milliseconds(between(least, most)); }

    private:
        std::vector<int> instances(int most)
        {
            std::vector<int> all(static_cast<std::size_t>(size_.instances_));
            std::iota(all.begin(), all.end(), 0);
            const int count = std::min(between(1, most), size_.instances_);
            for (int position = 0; position < count; ++position)
                std::swap(all[static_cast<std::size_t>(position)], all[static_cast<std::size_t>(between(position, size_.instances_ - 1))]);
            all.resize(static_cast<std::size_t>(count));
            // Few faults would meet the scheduler otherwise.
            if (chance(35))
                all.front() = currentScheduler;
            return all;
        }

        double share() { return chance(50) ? below(20) / 100.0 : 0; }

        RestartInstances restart()
        {
            const int kind = below(4);
            if (kind == 0)
                return { instances(std::max(2, size_.instances_ / 2)), false, true, time(0, 600) };
            if (kind == 1)
                return { instances(2), false, false, time(0, 2000) };
            return { instances(kind == 2 ? 1 : std::max(2, size_.instances_ / 2)), true, false, time(0, 3000) };
        }

        DisturbLinks links()
        {
            const bool isStoreLink = chance(60);
            const auto mode = static_cast<LinkMode>(between(1, static_cast<int>(LinkMode::DropDownstream)));
            return { instances(std::max(2, size_.instances_ / 2)), isStoreLink, mode, mode == LinkMode::Delay ? time(20, 1500) : Milliseconds::zero(), time(200, 7000) };
        }

        DisturbPlatform store()
        {
            Json faults { { "mode", "up" } };
            const int kind = below(8);
            // Outages of the whole store also outlast the scheduler's lease.
            const Milliseconds duration = time(200, kind < 4 ? 7000 : 3000);
            if (kind < 3)
                faults["mode"] = std::array<const char*, 3> { "silent", "refusing", "reset" }[static_cast<std::size_t>(kind)];
            if (kind == 3)
                faults["commitDelayMs"] = between(20, 800);
            if (kind == 4)
                faults["loseAnswers"] = between(1, 20);
            if (kind == 5)
                faults["holdBackCommits"] = between(1, 5);
            if (kind == 6)
                faults["feedsSilent"] = true;
            if (kind == 7) {
                const int percent = between(10, 70);
                faults["refusedParts"] = Json::array();
                for (const std::string& part : storeParts()) {
                    if (chance(percent))
                        faults["refusedParts"].push_back(part);
                }
                faults["feedsRefused"] = chance(40);
            }
            faults["dropHistory"] = chance(20);
            return { "store", std::move(faults), duration };
        }

        DisturbPlatform workers()
        {
            Json faults = Json::object();
            for (const char* const name : { "lostRequests", "lostAnswers", "lateRequests", "refusedStarts" })
                faults[name] = share();
            faults["maxDelayMs"] = between(3, 400);
            return { "workers", std::move(faults), time(500, 4000) };
        }

        std::mt19937 random_;
        SoakSize size_;
    };

}

SoakSchedule drawSchedule(std::uint32_t seed, const SoakSize& size)
{
    Drawing drawing(seed, size);
    SoakSchedule schedule;
    schedule.seed_ = seed;
    schedule.size_ = size;
    const int length = static_cast<int>(size.duration_.count());
    // A series has several actions soon after one another; series begin independently and overlap.
    const int seriesCount = std::max(1, length / 2500);
    for (int series = 0; series < seriesCount; ++series) {
        int at = drawing.below(length);
        const int count = drawing.between(1, 5);
        for (int position = 0; position < count && at < length; ++position) {
            schedule.actions_.push_back({ Milliseconds(at), drawing.action() });
            at += drawing.chance(30) ? drawing.below(20) : drawing.between(50, 2500);
        }
    }
    std::stable_sort(schedule.actions_.begin(), schedule.actions_.end(), [](const TimedAction& one, const TimedAction& other) { return one.at_ < other.at_; });
    return schedule;
}

nlohmann::json encodeSchedule(const SoakSchedule& schedule)
{
    Json actions = Json::array();
    for (const TimedAction& timed : schedule.actions_)
        actions.push_back(encode(timed));
    Json json { { "seed", schedule.seed_ }, { "instances", schedule.size_.instances_ }, { "workers", schedule.size_.workers_ }, { "durationMs", schedule.size_.duration_.count() }, { "actions", std::move(actions) } };
    if (!schedule.cause_.empty())
        json["cause"] = schedule.cause_;
    return json;
}

Result<SoakSchedule> parseSchedule(const std::string& text)
{
    try {
        const Json json = Json::parse(text, nullptr, true, true);
        SoakSchedule schedule;
        schedule.seed_ = json.at("seed");
        schedule.size_ = { json.at("instances"), json.at("workers"), milliseconds(json, "durationMs") };
        for (const Json& action : json.at("actions"))
            schedule.actions_.push_back({ milliseconds(action, "at"), parseAction(action, schedule.size_) });
        schedule.cause_ = json.value("cause", std::string());
        return schedule;
    } catch (const Json::exception& error) {
        return failure(ErrorKind::InvalidSyntax, std::string("the schedule can't be read: ") + error.what(), "correct the named member");
    }
}

std::string describe(const TimedAction& timed)
{
    return encode(timed).dump();
}

}
