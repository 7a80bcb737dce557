#include "bed.h"

#include "base/bootclock.h"
#include "registryrows.h"
#include "server/configurationwriter.h"
#include "server/rowstoreserver.h"
#include "server/workerserver.h"
#include "wirenames.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <random>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bed {

namespace {

#include "extranames.inc"

    using Json = nlohmann::json;

    // The figures of a small deployment, in the units of the platform's pages.
    constexpr std::int64_t maxLeaseMs = 10000;
    constexpr Duration heartbeat = std::chrono::milliseconds(1500);
    constexpr int missedHeartbeats = 3;
    constexpr Duration gangWait = std::chrono::milliseconds(3000);
    constexpr Duration tickInterval = std::chrono::milliseconds(5);
    constexpr Duration callTimeout = std::chrono::milliseconds(3000);
    constexpr const char* operatorTable = "op";
    constexpr const char* configurationKey = "config";

    HttpLimits wideLimits()
    {
        HttpLimits limits;
        limits.maxBodyBytes_ = 8 << 20;
        limits.idleTimeout_ = std::chrono::minutes(10);
        return limits;
    }

    ServerResponse closed()
    {
        ServerResponse response;
        response.status_ = 0;
        return response;
    }

    /** Adds the clock that answers with a body carry. */
    ServerResponse withClock(std::optional<ServerResponse> response, std::int64_t clockMs)
    {
        if (!response)
            return closed();
        Json json = Json::parse(response->body_);
        json[workerClockField] = clockMs;
        response->body_ = json.dump();
        return std::move(*response);
    }

    std::string gangKey(const RunId& run)
    {
        const TaskId& task = run.task_;
        return task.job_ + "." + std::to_string(task.occurrence_) + "." + std::to_string(task.step_) + "." + std::to_string(run.number_);
    }

    constexpr int maxDaemons = 16;
    volatile pid_t daemonPids[maxDaemons] = {};

    /** The script is ended from outside: its daemons end as well. */
    void endDaemons(int)
    {
        for (const pid_t pid : daemonPids) {
            if (pid > 0)
                kill(pid, SIGKILL);
        }
        _exit(2);
    }

    const char* nameOf(EndReason reason)
    {
        switch (reason) {
        case EndReason::Done:
            return "done";
        case EndReason::Failed:
            return "failed";
        case EndReason::Stopped:
            return "stopped";
        case EndReason::LeaseExpired:
            return "lapsed";
        case EndReason::GangBroken:
            return "broken";
        case EndReason::GangIncomplete:
            return "alone";
        }
        return "";
    }

}

Worker::Worker(Bed& bed, Kind kind, SocketAddress address)
    : bed_(bed)
    , kind_(std::move(kind))
    , address_(std::move(address))
{
}

void Worker::listen()
{
    if (server_)
        formerServers_.push_back(std::move(server_));
    server_ = std::make_unique<AsyncHttpServer>(bed_.loop_, [this](const ServerRequest& request, const AsyncHttpServer::Respond& respond) { handle(request, respond); });
    server_->setLimits(wideLimits());
    if (const auto listening = server_->listen(address_); !listening)
        throw std::runtime_error(describe(listening.error()));
}

void Worker::start()
{
    isUp_ = true;
    isDark_ = false;
    bootedAt_ = bootTimeNow();
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    listen();
    writeEntry();
}

void Worker::writeEntry()
{
    WorkerInfo info;
    info.key_ = { kind_.id_, born_ };
    info.machine_ = kind_.machine_;
    info.service_ = "service";
    info.dataCentre_ = "zone-1";
    info.labels_ = { kind_.label_, kind_.rack_ };
    info.endpoint_ = address_;
    info.capacity_ = kind_.capacity_;
    bed_.store_.put(RegistryRows().table(), kind_.id_, fescuecleat::workerserver::encodeEntry(info, ++sequence_));
    lastHeartbeat_ = bootTimeNow();
    nextHeartbeat_ = lastHeartbeat_ + heartbeat;
    isListed_ = true;
}

void Worker::goDark()
{
    bed_.record("worker " + kind_.id_ + " goes silent");
    isDark_ = true;
    for (LongPoll& poll : polls_)
        unanswered_.push_back(std::move(poll.respond_));
    polls_.clear();
}

void Worker::crash()
{
    bed_.record("worker " + kind_.id_ + " crashes");
    isUp_ = false;
    for (auto& [task, run] : runs_) {
        bed_.runs_[run.event_].endedAt_ = bootTimeNow();
        bed_.runs_[run.event_].how_ = "lost";
        bed_.leaveGang(run.id_, false);
    }
    runs_.clear();
    for (const LongPoll& poll : polls_)
        poll.respond_(closed());
    polls_.clear();
    for (const auto& respond : unanswered_)
        respond(closed());
    unanswered_.clear();
    server_->stopListening();
    server_->drain();
}

void Worker::restart()
{
    epoch_ = 0;
    leaseUntilMs_ = 0;
    barred_.clear();
    ends_.clear();
    lastEnd_ = 0;
    lastReported_ = 0;
    sequence_ = 0;
    start();
    bed_.record("worker " + kind_.id_ + " is up again");
}

std::int64_t Worker::clockMs() const
{
    return wholeMilliseconds(bootTimeNow() - bootedAt_) + 1000;
}

bool Worker::accepts(std::int64_t epoch)
{
    if (epoch < epoch_)
        return false;
    epoch_ = epoch;
    return true;
}

void Worker::extendLease(std::int64_t untilMs)
{
    leaseUntilMs_ = std::max(leaseUntilMs_, std::min(untilMs, clockMs() + maxLeaseMs));
}

bool Worker::hasRun(const std::string& job) const
{
    for (const auto& [task, run] : runs_) {
        if (task.job_ == job)
            return true;
    }
    return false;
}

std::size_t Worker::runCount() const
{
    return runs_.size();
}

void Worker::handle(const ServerRequest& request, const AsyncHttpServer::Respond& respond)
{
    namespace workerserver = fescuecleat::workerserver;
    if (!isUp_)
        return respond(closed());
    if (isDark_) {
        unanswered_.push_back(respond);
        if (request.path_ == fescuecleat::wire::workerStartPath)
            bed_.record("worker " + kind_.id_ + " is silent; a start that was sent to it is not carried out");
        return;
    }
    if (request.header(fescuecleat::wire::targetWorkerHeader) != kind_.id_)
        return respond(workerserver::otherWorker());
    if (request.path_ == fescuecleat::wire::workerPollPath) {
        const auto decoded = workerserver::decodePoll(request.body_);
        return decoded ? poll(*decoded, respond) : respond(workerserver::malformed(decoded.error()));
    }
    if (request.path_ == fescuecleat::wire::workerStartPath) {
        const auto decoded = workerserver::decodeStart(request.body_);
        return respond(decoded ? withClock(workerserver::encodeStartAnswer(carryOut(*decoded)), clockMs()) : workerserver::malformed(decoded.error()));
    }
    if (request.path_ == fescuecleat::wire::workerStopPath) {
        const auto decoded = workerserver::decodeStop(request.body_);
        return respond(decoded ? withClock(workerserver::encodeStopAnswer(carryOut(*decoded)), clockMs()) : workerserver::malformed(decoded.error()));
    }
    ServerResponse response;
    response.status_ = 404;
    respond(std::move(response));
}

void Worker::poll(const PollRequest& request, const AsyncHttpServer::Respond& respond)
{
    namespace workerserver = fescuecleat::workerserver;
    if (lostAcknowledgement_ && request.acknowledgedEnds_ >= *lostAcknowledgement_) {
        bed_.record("a poll that acknowledges ends up to " + std::to_string(request.acknowledgedEnds_) + " gets no answer from " + kind_.id_);
        lostAcknowledgement_.reset();
        latePoll_ = request;
        latePollSentAt_ = bootTimeNow();
        unanswered_.push_back(respond);
        return;
    }
    if (!accepts(request.epoch_))
        return respond(withClock(workerserver::encodePollAnswer(tl::unexpected<WorkerFailure>(WorkerFailure::StaleEpoch)), clockMs()));
    if (request.leaseUntilMs_)
        extendLease(*request.leaseUntilMs_);
    forgetEnds(request.acknowledgedEnds_);
    if (!ends_.empty() || request.wait_ <= Duration::zero())
        return respond(withClock(workerserver::encodePollAnswer(report()), clockMs()));
    polls_.push_back({ bootTimeNow() + request.wait_, respond });
}

void Worker::forgetEnds(std::int64_t upTo)
{
    std::vector<ReportedEnd> kept;
    for (const ReportedEnd& end : ends_) {
        if (end.sequence_ > upTo) {
            kept.push_back(end);
            continue;
        }
        for (RunEvent& event : bed_.runs_) {
            if (event.run_ == end.run_ && event.worker_ == kind_.id_)
                event.isNoted_ = true;
        }
    }
    ends_ = std::move(kept);
}

void Worker::carryOutLatePoll()
{
    // The pages let an order be carried out 2 to 12 s later.
    const Time now = bootTimeNow();
    if (!latePoll_ || isLatePollDone_ || now < latePollSentAt_ + std::chrono::seconds(2) || now > latePollSentAt_ + std::chrono::seconds(12) || lastEnd_ <= lastReported_)
        return;
    isLatePollDone_ = true;
    bed_.record("the poll with the acknowledgement up to " + std::to_string(latePoll_->acknowledgedEnds_) + " is carried out on " + kind_.id_ + " " + std::to_string(wholeMilliseconds(now - latePollSentAt_)) + " ms after it was sent; " + std::to_string(lastEnd_) + " runs have ended in this boot, " + std::to_string(lastReported_) + " of them were reported");
    if (!accepts(latePoll_->epoch_))
        return;
    if (latePoll_->leaseUntilMs_)
        extendLease(*latePoll_->leaseUntilMs_);
    forgetEnds(latePoll_->acknowledgedEnds_);
}

PoolWorkerReport Worker::report()
{
    PoolWorkerReport report;
    report.startedUnixMs_ = born_;
    report.clockMs_ = clockMs();
    for (const auto& [task, run] : runs_) {
        int percent = 0;
        if (!run.behaviour_.runTime_)
            percent = 100;
        else if (run.endsAt_ && run.isComplete_)
            percent = static_cast<int>(100 - std::min<double>(100, 100.0 * static_cast<double>(wholeMilliseconds(*run.endsAt_ - bootTimeNow())) / static_cast<double>(std::max<std::int64_t>(1, wholeMilliseconds(*run.behaviour_.runTime_)))));
        report.running_.push_back({ run.id_, {}, std::clamp(percent, 0, 100) });
    }
    report.ended_ = ends_;
    lastReported_ = std::max(lastReported_, lastEnd_);
    return report;
}

tl::expected<StartAnswer, WorkerFailure> Worker::carryOut(const StartRequest& request)
{
    if (!accepts(request.epoch_))
        return tl::unexpected<WorkerFailure>(WorkerFailure::StaleEpoch);
    extendLease(request.leaseUntilMs_);
    const TaskId& task = request.run_.task_;
    const auto known = runs_.find(task);
    if (known != runs_.end())
        return known->second.id_.number_ == request.run_.number_ ? StartAnswer::Accepted : StartAnswer::StaleRun;
    if (const auto barred = barred_.find(task); barred != barred_.end() && request.run_.number_ <= barred->second)
        return StartAnswer::StaleRun;
    Run run;
    run.id_ = request.run_;
    run.behaviour_ = bed_.behaviour_(request.run_, *request.payload_);
    run.startedAt_ = bootTimeNow();
    run.event_ = bed_.runs_.size();
    bed_.runs_.push_back({ request.run_, kind_.id_, run.startedAt_, std::nullopt, {} });
    bed_.record("run " + std::to_string(request.run_.number_) + " of " + toString(task) + " begins on " + kind_.id_);
    const bool isGang = run.behaviour_.gangSize_ > 1;
    if (!isGang && run.behaviour_.runTime_) {
        run.isComplete_ = true;
        run.endsAt_ = run.startedAt_ + *run.behaviour_.runTime_;
    }
    const Behaviour behaviour = run.behaviour_;
    runs_.emplace(task, std::move(run));
    if (isGang)
        bed_.joinGang(*this, request.run_, behaviour.gangSize_, behaviour.runTime_.value_or(Duration::zero()));
    return StartAnswer::Accepted;
}

tl::expected<void, WorkerFailure> Worker::carryOut(const StopRequest& request)
{
    if (!accepts(request.epoch_))
        return tl::unexpected<WorkerFailure>(WorkerFailure::StaleEpoch);
    const TaskId& task = request.run_.task_;
    barred_[task] = std::max(barred_[task], request.run_.number_);
    const auto run = runs_.find(task);
    if (run != runs_.end() && run->second.id_.number_ <= request.run_.number_)
        end(task, EndReason::Stopped);
    return {};
}

void Worker::end(const TaskId& task, EndReason reason)
{
    const auto found = runs_.find(task);
    if (found == runs_.end())
        return;
    const Run run = found->second;
    runs_.erase(found);
    barred_[task] = std::max(barred_[task], run.id_.number_);
    ends_.push_back({ ++lastEnd_, run.id_, reason, {} });
    bed_.runs_[run.event_].endedAt_ = bootTimeNow();
    bed_.runs_[run.event_].how_ = nameOf(reason);
    bed_.record("run " + std::to_string(run.id_.number_) + " of " + toString(task) + " ends on " + kind_.id_ + ": " + nameOf(reason));
    if (run.behaviour_.gangSize_ > 1)
        bed_.leaveGang(run.id_, reason != EndReason::Done);
    if (!isDark_)
        answerPolls(true);
}

void Worker::endRuns(const std::function<bool(const RunId&)>& isMeant, EndReason reason)
{
    std::vector<TaskId> meant;
    for (const auto& [task, run] : runs_) {
        if (isMeant(run.id_))
            meant.push_back(task);
    }
    for (const TaskId& task : meant)
        end(task, reason);
}

void Worker::endGangMember(const RunId& run, EndReason reason)
{
    const auto found = runs_.find(run.task_);
    if (found != runs_.end() && found->second.id_ == run)
        end(run.task_, reason);
}

void Worker::gangComplete(const RunId& run, Time endsAt)
{
    const auto found = runs_.find(run.task_);
    if (found == runs_.end())
        return;
    found->second.isComplete_ = true;
    found->second.endsAt_ = endsAt;
}

void Worker::answerPolls(bool all)
{
    namespace workerserver = fescuecleat::workerserver;
    std::vector<LongPoll> waiting;
    for (LongPoll& poll : std::exchange(polls_, {})) {
        if (all || poll.until_ <= bootTimeNow())
            poll.respond_(withClock(workerserver::encodePollAnswer(report()), clockMs()));
        else
            waiting.push_back(std::move(poll));
    }
    polls_.insert(polls_.end(), std::make_move_iterator(waiting.begin()), std::make_move_iterator(waiting.end()));
}

void Worker::tick()
{
    const Time now = bootTimeNow();
    if (isListed_ && lastHeartbeat_ + heartbeat * missedHeartbeats < now) {
        isListed_ = false;
        bed_.record("the entry of worker " + kind_.id_ + " is removed");
        bed_.store_.erase(RegistryRows().table(), kind_.id_);
    }
    if (!isUp_)
        return;
    if (clockMs() > leaseUntilMs_) {
        endRuns([](const RunId&) { return true; }, EndReason::LeaseExpired);
    }
    std::vector<std::pair<TaskId, EndReason>> due;
    for (const auto& [task, run] : runs_) {
        if (run.endsAt_ && *run.endsAt_ <= now)
            due.emplace_back(task, run.behaviour_.end_);
        else if (run.behaviour_.gangSize_ > 1 && !run.isComplete_ && run.startedAt_ + gangWait < now)
            due.emplace_back(task, EndReason::GangIncomplete);
    }
    for (const auto& [task, reason] : due)
        end(task, reason);
    carryOutLatePoll();
    if (isDark_)
        return;
    if (nextHeartbeat_ <= now)
        writeEntry();
    answerPolls(false);
}

Bed::Bed(std::string caseFolder, std::string root)
    : store_(loop_)
    , folder_(std::move(caseFolder))
    , root_(std::move(root))
    , beganAt_(bootTimeNow())
    , storeServer_(loop_, [this](const ServerRequest& request, const AsyncHttpServer::Respond& respond) { handleStoreCall(request, respond); })
    , client_(loop_)
    , tickTimer_(loop_)
{
    record_.open(folder_ + "/record.txt");
    std::string pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    temporary_ = pattern;
    storeAddress_ = { "127.0.0.1", freePort() };
    HttpLimits limits = wideLimits();
    limits.maxConnections_ = 10000;
    storeServer_.setLimits(limits);
    if (const auto listening = storeServer_.listen(storeAddress_); !listening)
        throw std::runtime_error(describe(listening.error()));
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        std::signal(signal, endDaemons);
    target_ = { "jobs.example", "/queue/", "key-1" };
    tick();
}

Bed::~Bed()
{
    for (const Daemon& daemon : daemons_) {
        if (daemon.pid_ > 0) {
            kill(daemon.pid_, SIGKILL);
            waitpid(daemon.pid_, nullptr, 0);
            for (volatile pid_t& pid : daemonPids)
                pid = pid == daemon.pid_ ? 0 : pid;
        }
    }
    std::error_code ignored;
    std::filesystem::remove_all(temporary_, ignored);
}

std::uint16_t Bed::freePort()
{
    // Below the range from which the system takes ports for connections, so that none takes a port before it is used.
    constexpr int firstPort = 10000;
    constexpr int lastPort = 29999;
    static std::mt19937 random(std::random_device {}());
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const auto port = static_cast<std::uint16_t>(std::uniform_int_distribution<int>(firstPort, lastPort)(random));
        const int probe = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        const bool isFree = bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        close(probe);
        if (isFree && ports_.insert(port).second)
            return port;
    }
    throw std::runtime_error("no free port");
}

void Bed::record(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f  ", std::chrono::duration<double>(bootTimeNow() - beganAt_).count());
    record_ << time << line << std::endl;
}

void Bed::tick()
{
    for (const auto& worker : workers_)
        worker->tick();
    tickTimer_.start(tickInterval, [this] { tick(); });
}

void Bed::addWorker(const Worker::Kind& kind)
{
    workers_.push_back(std::make_unique<Worker>(*this, kind, SocketAddress { "127.0.0.1", freePort() }));
    workers_.back()->start();
}

void Bed::setConfiguration(const PoolConfiguration& configuration)
{
    store_.put(operatorTable, configurationKey, encodeConfiguration(configuration));
    record("configuration " + std::to_string(configuration.version_) + " is stored");
}

void Bed::startDaemons(int count)
{
    for (int i = 0; i < count; ++i) {
        Daemon daemon;
        daemon.callers_ = { "127.0.0.1", freePort() };
        daemon.readiness_ = { "127.0.0.1", freePort() };
        const SocketAddress peers { "127.0.0.1", freePort() };
        const std::string name = "front-" + std::to_string(i + 1);
        const std::string settingsPath = temporary_ + "/" + name + ".json";
        // As deploy/settings.json.template gives them for a small deployment.
        std::ofstream(settingsPath) << Json { { "instance", name }, { "dataCentre", "zone-1" }, { "callers", toString(daemon.callers_) }, { "readiness", toString(daemon.readiness_) },
            { "peers", toString(peers) }, { "store", toString(storeAddress_) }, { "storeRowBytes", 65536 }, { "processorShare", 0.25 }, { "memoryMb", 260 },
            { "maxWorkerLeaseSeconds", 10.0 }, { "revocationLimitSeconds", 5.0 }, { "guaranteeLimitSeconds", 2.7 }, { "endedJobSeconds", 120 },
            { "drainLimitSeconds", 2.0 }, { "closureLimitSeconds", 5.0 }, { "cancelLimitSeconds", 3.0 }, { "stopLimitSeconds", 6 } }
                                           .dump(4);
        const std::string logPath = temporary_ + "/" + name + ".log";
        const std::string program = root_ + "/target/bin/fescuecleat-poold";
        const std::string variable = "FESCUECLEAT_CONFIG=" + settingsPath;
        char* arguments[] = { const_cast<char*>(program.c_str()), nullptr };
        char* environment[] = { const_cast<char*>(variable.c_str()), nullptr };
        // Sockets stay with this process, so that a port is free once its worker has crashed.
        for (int descriptor = 3; descriptor < 4096; ++descriptor)
            fcntl(descriptor, F_SETFD, FD_CLOEXEC);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, logPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        const int failed = posix_spawn(&daemon.pid_, program.c_str(), &actions, nullptr, arguments, environment);
        posix_spawn_file_actions_destroy(&actions);
        if (failed != 0)
            throw std::runtime_error("can't start " + program);
        daemonPids[daemons_.size()] = daemon.pid_;
        daemons_.push_back(daemon);
        record("daemon " + name + " is started");
    }
}

bool Bed::runUntil(Duration time, const std::function<bool()>& condition)
{
    const Time until = bootTimeNow() + time;
    while (bootTimeNow() < until) {
        if (condition && condition())
            return true;
        loop_.run_for(std::chrono::milliseconds(5));
    }
    return condition && condition();
}

void Bed::call(const SocketAddress& address, const std::string& group, HttpCall call, Duration timeout, Answer answer)
{
    client_.call(address, group, std::move(call), timeout, [answer = std::move(answer)](const tl::expected<HttpAnswer, HttpFailure>& outcome) {
        if (outcome)
            answer(outcome->status_, outcome->body_);
        else
            answer(0, {});
    });
}

bool Bed::awaitReady()
{
    const Time until = bootTimeNow() + std::chrono::seconds(15);
    while (bootTimeNow() < until) {
        std::size_t ready = 0;
        std::size_t answered = 0;
        for (const Daemon& daemon : daemons_) {
            call(daemon.readiness_, "ready", { "GET", "/readyz", {}, {} }, std::chrono::seconds(1), [&](int status, const std::string&) {
                ++answered;
                ready += status == 200 ? 1 : 0;
            });
        }
        runUntil(std::chrono::seconds(2), [&] { return answered == daemons_.size(); });
        if (ready == daemons_.size())
            return true;
        runUntil(std::chrono::milliseconds(200));
    }
    return false;
}

void Bed::submit(std::size_t daemon, const std::string& job, const PoolJobSpec& spec, Answer answer)
{
    record("POST of job " + job + " is sent to daemon " + std::to_string(daemon + 1));
    call(daemons_[daemon].callers_, "client", callerrequests::submit(target_, job, callerrequests::encodeJob(spec), callTimeout), callTimeout, std::move(answer));
}

void Bed::askState(std::size_t daemon, const std::string& job, Answer answer)
{
    call(daemons_[daemon].callers_, "client", callerrequests::askState(target_, job, callTimeout), callTimeout, std::move(answer));
}

void Bed::countWaiting(std::size_t daemon, Answer answer)
{
    call(daemons_[daemon].callers_, "client", callerrequests::countWaiting(target_, callTimeout), callTimeout, std::move(answer));
}

bool Bed::submitAndWait(const std::string& job, const PoolJobSpec& spec)
{
    for (int i = 0; i < 20; ++i) {
        std::optional<int> result;
        submit(static_cast<std::size_t>(i) % daemons_.size(), job, spec, [&](int status, const std::string&) { result = status; });
        runUntil(callTimeout + std::chrono::seconds(1), [&] { return result.has_value(); });
        record("POST of job " + job + " is answered " + std::to_string(result.value_or(0)));
        if (result == 200)
            return true;
        runUntil(std::chrono::milliseconds(500));
    }
    return false;
}

std::optional<PoolJobState> Bed::stateOf(std::size_t daemon, const std::string& job)
{
    // An idle connection may have been closed, so a call without an answer is sent once more.
    for (int i = 0; i < 2; ++i) {
        std::optional<std::pair<int, std::string>> result;
        askState(daemon, job, [&](int status, const std::string& body) { result = { status, body }; });
        runUntil(callTimeout + std::chrono::seconds(1), [&] { return result.has_value(); });
        record("GET of job " + job + " is answered " + std::to_string(result ? result->first : 0) + " " + (result ? result->second : ""));
        if (!result || result->first != 200)
            continue;
        const auto state = callerrequests::decodeState(result->second);
        return state ? std::make_optional(*state) : std::nullopt;
    }
    return std::nullopt;
}

bool Bed::hasBegun(const std::string& job) const
{
    for (const RunEvent& event : runs_) {
        if (event.run_.task_.job_ == job)
            return true;
    }
    return false;
}

Worker* Bed::workerOf(const std::string& job)
{
    for (const auto& worker : workers_) {
        if (worker->hasRun(job))
            return worker.get();
    }
    return nullptr;
}

void Bed::joinGang(Worker& worker, const RunId& run, int size, Duration runTime)
{
    Gang& gang = gangs_[gangKey(run)];
    gang.run_ = run.number_;
    gang.members_[run.task_] = &worker;
    if (static_cast<int>(gang.members_.size()) < size)
        return;
    const Time endsAt = bootTimeNow() + runTime;
    for (const auto& [task, member] : gang.members_)
        member->gangComplete({ task, run.number_ }, endsAt);
}

void Bed::leaveGang(const RunId& run, bool isBroken)
{
    const auto found = gangs_.find(gangKey(run));
    if (found == gangs_.end())
        return;
    const Gang gang = found->second;
    gangs_.erase(found);
    for (const auto& [task, member] : gang.members_) {
        if (!(task == run.task_))
            member->endGangMember({ task, run.number_ }, isBroken ? EndReason::GangBroken : EndReason::Done);
    }
}

void Bed::handleStoreCall(const ServerRequest& request, const AsyncHttpServer::Respond& respond)
{
    namespace rowstoreserver = fescuecleat::rowstoreserver;
    constexpr Duration noLimit = std::chrono::hours(1);
    const auto give = [respond](std::optional<ServerResponse> response) { respond(response ? std::move(*response) : closed()); };
    const std::string path = request.path_.substr(0, request.path_.find('?'));
    if (path == fescuecleat::wire::storeCommitPath) {
        const auto transaction = rowstoreserver::decodeTransaction(request.body_);
        if (!transaction)
            return respond(fescuecleat::workerserver::malformed(transaction.error()));
        return store_.commit(*transaction, noLimit, [transaction = *transaction, give](const auto& outcome) { give(rowstoreserver::encodeCommitAnswer(transaction, outcome)); });
    }
    if (path == fescuecleat::wire::storeReadPath) {
        const auto range = rowstoreserver::decodeRange(request.path_);
        if (!range)
            return respond(fescuecleat::workerserver::malformed(range.error()));
        return store_.read(*range, noLimit, [range = *range, give](const auto& page) { give(rowstoreserver::encodePageAnswer(range.table_, range.part_, page)); });
    }
    if (path == fescuecleat::wire::storeFeedPath) {
        const auto feed = rowstoreserver::decodeFeed(request.path_);
        if (!feed)
            return respond(fescuecleat::workerserver::malformed(feed.error()));
        return store_.follow(feed->table_, feed->after_, feed->wait_, noLimit, [table = feed->table_, give](const auto& page) { give(rowstoreserver::encodeFeedAnswer(table, page)); });
    }
    ServerResponse response;
    response.status_ = 404;
    respond(std::move(response));
}

int Bed::finish(int code, const std::string& verdict)
{
    record(verdict);
    record("exit code " + std::to_string(code));
    for (Daemon& daemon : daemons_) {
        int status = 0;
        if (waitpid(daemon.pid_, &status, WNOHANG) == daemon.pid_) {
            record("a daemon had ended by itself");
            daemon.pid_ = 0;
        }
    }
    std::puts(verdict.c_str());
    return code;
}

}
