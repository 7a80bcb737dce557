#include "minions.h"

#include "wirenames.inc"

#include <algorithm>

namespace review {

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(5);
    constexpr std::size_t endsPerReport = 500;

    std::int64_t unixMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

}

std::string stepName(const std::string& task)
{
    return task.substr(0, task.rfind('.'));
}

Minions::Minions(asio::io_context& loop, Store& store, Record& record, Settings settings)
    : loop_(loop)
    , store_(store)
    , record_(record)
    , settings_(std::move(settings))
    , timer_(loop)
{
}

Minions::~Minions() = default;

void Minions::start(const std::vector<std::uint16_t>& ports)
{
    for (std::size_t i = 0; i < ports.size(); ++i) {
        auto minion = std::make_unique<Minion>();
        const auto rack = static_cast<int>(i) / settings_.perRack_;
        const std::size_t zone = static_cast<std::size_t>(rack) % settings_.zones_.size();
        minion->id_ = idOf(i);
        minion->zone_ = settings_.zones_[zone];
        minion->rack_ = "r" + std::to_string(zone + 1) + "-" + std::to_string(rack);
        minion->port_ = ports[i];
        minion->bornUnixMs_ = unixMs();
        minion->bootedMs_ = elapsedMs();
        open(*minion);
        beat(*minion);
        minion->nextBeatMs_ = elapsedMs() + settings_.heartbeatMs_ * static_cast<std::int64_t>(i + 1) / static_cast<std::int64_t>(ports.size());
        minions_.push_back(std::move(minion));
    }
    tick();
}

void Minions::open(Minion& minion)
{
    minion.server_ = std::make_unique<HttpServer>(loop_, [this, &minion](const Request& request, const Respond& respond) { handle(minion, request, respond); });
    minion.server_->listen(minion.port_);
}

void Minions::beat(Minion& minion)
{
    minion.nextBeatMs_ = elapsedMs() + settings_.heartbeatMs_;
    store_.put("servers", minion.id_, { { "service", settings_.service_ }, { "address", "127.0.0.1:" + std::to_string(minion.port_) }, { "zone", minion.zone_ }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldRemainingMs", 0 }, { "capacity", { { "cpu", settings_.cpu_ }, { "memMb", settings_.memMb_ }, { "gpu", settings_.gpu_ } } }, { "labels", { "a", minion.rack_ } }, { "machine", "m-" + minion.id_ }, { "clockMs", clockMs(minion) }, { "born", minion.bornUnixMs_ }, { "seq", ++minion.seq_ } });
}

std::int64_t Minions::acceleratorsInUse() const
{
    std::int64_t sum = 0;
    for (const auto& minion : minions_) {
        for (const auto& [task, run] : minion->runs_) {
            if (const StepPlan* step = stepOf(task))
                sum += step->gpu_;
        }
    }
    return sum;
}

void Minions::handle(Minion& minion, const Request& request, const Respond& respond)
{
    const Json json = Json::parse(request.body(), nullptr, false);
    const auto target = request.find(wire::targetHeader);
    if (target != request.end() && target->value() != minion.id_)
        return respond(answer(minion, 421, Json::object()));
    if (json.is_discarded() || !json.is_object())
        return respond({ 400, "{}" });
    if (!acceptFence(minion, json))
        return respond(answer(minion, 409, { { "reason", "fence" } }));
    const std::string path(request.target());
    if (path == "/hold")
        return hold(minion, json, respond);
    if (path == wire::startPath)
        return respond(startRun(minion, json));
    if (path == wire::stopPath)
        return respond(stopRun(minion, json));
    respond({ 404, "{}" });
}

bool Minions::acceptFence(Minion& minion, const Json& json)
{
    const std::int64_t fence = json.value("fence", std::int64_t(0));
    if (fence < minion.fence_)
        return false;
    minion.fence_ = fence;
    return true;
}

void Minions::extendLease(Minion& minion, const Json& json)
{
    const std::int64_t until = std::min(json.value(wire::leaseEnd, std::int64_t(0)), clockMs(minion) + settings_.holdMaxMs_);
    minion.leaseUntilMs_ = std::max(minion.leaseUntilMs_, until);
}

Answer Minions::answer(const Minion& minion, int status, Json body) const
{
    body["clockMs"] = clockMs(minion);
    body["born"] = minion.bornUnixMs_;
    return { status, body.dump() };
}

Answer Minions::startRun(Minion& minion, const Json& json)
{
    const std::string task = json.at("task");
    const int number = json.at("run");
    const auto known = minion.runs_.find(task);
    if (known != minion.runs_.end() && known->second.number_ == number) {
        extendLease(minion, json);
        return answer(minion, 200, Json::object());
    }
    const auto barred = minion.barred_.find(task);
    if (barred != minion.barred_.end() && number <= barred->second) {
        extendLease(minion, json);
        return answer(minion, 409, { { "reason", "old" } });
    }
    if (json.value(wire::leaseEnd, std::int64_t(0)) <= clockMs(minion))
        return answer(minion, 409, { { "reason", "late" } });
    const StepPlan* const step = stepOf(task);
    if (step == nullptr) {
        record_.write("UNASKED: minion %s is told to start %s, which nobody sent", minion.id_.c_str(), task.c_str());
        return answer(minion, 400, Json::object());
    }
    extendLease(minion, json);
    TaskHistory& history = history_[task];
    record_.write("start %s run %d on %s", task.c_str(), number, minion.id_.c_str());
    ++history.starts_;
    ++history.active_;
    Run run;
    run.number_ = number;
    run.startedMs_ = elapsedMs();
    const std::string checkpoint = json.value(wire::checkpoint, std::string());
    if (const auto saved = checkpoints_.find(checkpoint); saved != checkpoints_.end())
        run.doneBeforeMs_ = saved->second;
    minion.runs_[task] = run;
    beginGang(task, number);
    return answer(minion, 200, Json::object());
}

Answer Minions::stopRun(Minion& minion, const Json& json)
{
    const std::string task = json.at("task");
    const int number = json.at("run");
    int& barred = minion.barred_[task];
    barred = std::max(barred, number);
    const auto run = minion.runs_.find(task);
    if (run != minion.runs_.end() && run->second.number_ == number && run->second.stopsAtMs_ < 0) {
        run->second.stopsAtMs_ = elapsedMs() + settings_.stopMs_;
        record_.write("stop %s run %d on %s", task.c_str(), number, minion.id_.c_str());
    }
    return answer(minion, 200, Json::object());
}

void Minions::hold(Minion& minion, const Json& json, const Respond& respond)
{
    extendLease(minion, json);
    const std::int64_t seenEnds = json.value(wire::seenEnds, std::int64_t(0));
    for (auto end = minion.ends_.begin(); end != minion.ends_.end() && end->number_ <= seenEnds;)
        end = minion.ends_.erase(end);
    const std::int64_t waitMs = std::min<std::int64_t>(json.value("waitMs", std::int64_t(0)), 2000);
    if (waitMs <= 0 || !minion.ends_.empty())
        return respond(answer(minion, 200, report(minion)));
    minion.polls_.push_back({ elapsedMs() + waitMs, seenEnds, respond });
}

Json Minions::report(const Minion& minion) const
{
    Json running = Json::array();
    for (const auto& [task, run] : minion.runs_) {
        const StepPlan* const step = stepOf(task);
        const std::int64_t done = step == nullptr ? 0 : workDoneMs(run, *step);
        const bool isAtWork = run.workBeganMs_ >= 0;
        int percent = 0;
        if (step != nullptr && isAtWork)
            percent = step->isLongRunning_ ? 100 : static_cast<int>(std::min<std::int64_t>(100, 100 * done / std::max<std::int64_t>(1, step->workMs_)));
        std::string saved;
        if (step != nullptr && step->savesProgress_ && done >= settings_.checkpointMs_) {
            char text[32];
            std::snprintf(text, sizeof text, "%08llx%08llx", static_cast<unsigned long long>(done / settings_.checkpointMs_ * settings_.checkpointMs_), static_cast<unsigned long long>(std::hash<std::string>()(task) & 0xffffffffU));
            saved = text;
            const_cast<Minions*>(this)->checkpoints_[saved] = done / settings_.checkpointMs_ * settings_.checkpointMs_;
        }
        running.push_back({ task, run.number_, saved, percent, step == nullptr ? 0 : step->cpu_ });
    }
    Json ended = Json::array();
    for (const End& end : minion.ends_) {
        if (ended.size() < endsPerReport)
            ended.push_back({ end.number_, end.task_, end.run_, end.how_, end.saved_ });
    }
    return { { "running", std::move(running) }, { "ended", std::move(ended) } };
}

void Minions::answerPolls(Minion& minion)
{
    for (auto poll = minion.polls_.begin(); poll != minion.polls_.end();) {
        if (poll->untilMs_ > elapsedMs() && minion.ends_.empty()) {
            ++poll;
            continue;
        }
        const Respond respond = poll->respond_;
        poll = minion.polls_.erase(poll);
        respond(answer(minion, 200, report(minion)));
    }
}

void Minions::endRun(Minion& minion, const std::string& task, const std::string& how)
{
    const auto entry = minion.runs_.find(task);
    if (entry == minion.runs_.end())
        return;
    const int number = entry->second.number_;
    minion.runs_.erase(entry);
    int& barred = minion.barred_[task];
    barred = std::max(barred, number);
    TaskHistory& history = history_[task];
    --history.active_;
    minion.ends_.push_back({ minion.nextEnd_++, task, number, how, std::string() });
    record_.write("end %s run %d on %s: %s", task.c_str(), number, minion.id_.c_str(), how.c_str());
}

const StepPlan* Minions::stepOf(const std::string& task) const
{
    const auto job = jobs_.find(task.substr(0, task.find('.')));
    if (job == jobs_.end())
        return nullptr;
    const std::string step = stepName(task);
    const auto index = static_cast<std::size_t>(std::stoi(step.substr(step.rfind('.') + 1)));
    return index < job->second.steps_.size() ? &job->second.steps_[index] : nullptr;
}

std::int64_t Minions::workDoneMs(const Run& run, const StepPlan& step) const
{
    const std::int64_t now = run.workBeganMs_ < 0 ? 0 : elapsedMs() - run.workBeganMs_;
    return step.isLongRunning_ ? now : std::min(step.workMs_, run.doneBeforeMs_ + now);
}

void Minions::beginGang(const std::string& task, int number)
{
    const StepPlan* const step = stepOf(task);
    std::vector<Run*> members;
    for (const auto& minion : minions_) {
        for (auto& [other, run] : minion->runs_) {
            const bool isMember = step->isGang_ ? stepName(other) == stepName(task) && run.number_ == number : other == task && run.number_ == number;
            if (isMember)
                members.push_back(&run);
        }
    }
    if (step->isGang_ && static_cast<int>(members.size()) < step->count_)
        return;
    for (Run* member : members)
        member->workBeganMs_ = elapsedMs();
}

void Minions::endMembers(const std::string& task, int number, const std::string& how)
{
    const StepPlan* const step = stepOf(task);
    if (step == nullptr || !step->isGang_)
        return;
    for (const auto& minion : minions_) {
        std::vector<std::string> members;
        for (const auto& [other, run] : minion->runs_) {
            if (stepName(other) == stepName(task) && run.number_ == number)
                members.push_back(other);
        }
        for (const std::string& member : members)
            endRun(*minion, member, how);
    }
}

void Minions::tick()
{
    struct Due {
        Minion* minion_;
        std::string task_;
        int run_;
        std::string how_;
    };
    const std::int64_t now = elapsedMs();
    std::vector<Due> due;
    for (const auto& minion : minions_) {
        if (minion->nextBeatMs_ <= now)
            beat(*minion);
        const bool hasLapsed = clockMs(*minion) > minion->leaseUntilMs_;
        for (const auto& [task, run] : minion->runs_) {
            const StepPlan* const step = stepOf(task);
            if (hasLapsed)
                due.push_back({ minion.get(), task, run.number_, "lapsed" });
            else if (run.stopsAtMs_ >= 0 && run.stopsAtMs_ <= now)
                due.push_back({ minion.get(), task, run.number_, "stopped" });
            else if (run.workBeganMs_ < 0 && run.startedMs_ + settings_.gangMs_ <= now)
                due.push_back({ minion.get(), task, run.number_, "alone" });
            else if (run.workBeganMs_ >= 0 && step != nullptr && !step->isLongRunning_ && workDoneMs(run, *step) >= step->workMs_)
                due.push_back({ minion.get(), task, run.number_, "done" });
        }
    }
    for (const Due& end : due)
        endRun(*end.minion_, end.task_, end.how_);
    for (const Due& end : due)
        endMembers(end.task_, end.run_, end.how_ == "done" ? "done" : "broken");
    for (const auto& minion : minions_)
        answerPolls(*minion);
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](beast::error_code error) {
        if (!error)
            tick();
    });
}

}
