#include "deployment.h"

#include "wirenames.inc"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <future>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    /** Distinct ports that nothing uses at the moment, below those that the kernel gives to outgoing connections. */
    std::vector<std::uint16_t> freePorts(std::size_t count)
    {
        constexpr int firstPort = 20000;
        constexpr int lastPort = 32000;
        asio::io_context context;
        std::vector<asio::ip::tcp::acceptor> acceptors;
        std::vector<std::uint16_t> ports;
        for (int i = 0, port = firstPort + ::getpid() * 131 % (lastPort - firstPort); i < lastPort - firstPort && ports.size() < count; ++i) {
            asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
            beast::error_code error;
            acceptor.bind({ asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port) }, error);
            if (!error) {
                acceptors.push_back(std::move(acceptor));
                ports.push_back(static_cast<std::uint16_t>(port));
            }
            port = port + 1 < lastPort ? port + 1 : firstPort;
        }
        if (ports.size() < count)
            throw std::runtime_error("not enough free ports");
        return ports;
    }

    /** Above all descriptors that a case opens. */
    constexpr int maxDescriptors = 4096;

    std::string address(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

}

Deployment::Deployment(std::string program, std::string folder, Record& record, Options options)
    : program_(std::move(program))
    , folder_(std::move(folder))
    , record_(record)
    , options_(std::move(options))
    , work_(asio::make_work_guard(loop_))
    , store_(loop_, record)
    , minions_(loop_, store_, record, options_.minionSettings_)
{
    const auto minions = static_cast<std::size_t>(options_.minions_);
    const auto instances = static_cast<std::size_t>(options_.instances_);
    const std::vector<std::uint16_t> ports = freePorts(2 + minions + 3 * instances);
    storePort_ = ports[0];
    sparePort_ = ports.back();
    minionPorts_.assign(ports.begin() + 1, ports.begin() + 1 + static_cast<std::ptrdiff_t>(minions));
    const std::vector<std::string> zones { "catania", "palermo", "siracusa" };
    for (std::size_t i = 0; i < instances; ++i) {
        Process process;
        process.zone_ = zones[i % zones.size()];
        process.name_ = "front-" + process.zone_ + "-" + std::to_string(i / zones.size() + 1);
        process.callers_ = ports[1 + minions + 3 * i];
        process.readiness_ = ports[2 + minions + 3 * i];
        process.peers_ = ports[3 + minions + 3 * i];
        // deploy/settings.json.template, filled in with the figures of the small sites.
        process.settings_ = folder_ + "/" + process.name_ + ".json";
        std::ofstream(process.settings_) << "{\n"
                                         << "    \"instance\": \"" << process.name_ << "\",\n"
                                         << "    \"dataCentre\": \"" << process.zone_ << "\",\n"
                                         << "    \"callers\": \"" << address(process.callers_) << "\",\n"
                                         << "    \"readiness\": \"" << address(process.readiness_) << "\",\n"
                                         << "    \"peers\": \"" << address(process.peers_) << "\",\n"
                                         << "    \"store\": \"" << address(storePort_) << "\",\n"
                                         << "    \"processorShare\": 0.25,\n"
                                         << "    \"maxWorkerLeaseSeconds\": " << options_.minionSettings_.holdMaxMs_ << "e-3,\n"
                                         << "    \"revocationLimitSeconds\": 5000e-3,\n"
                                         << "    \"guaranteeLimitSeconds\": 2700e-3,\n"
                                         << "    \"stopLimitSeconds\": 6\n"
                                         << "}\n";
        processes_.push_back(std::move(process));
    }
}

Deployment::~Deployment()
{
    for (Process& process : processes_) {
        if (process.id_ > 0) {
            ::kill(process.id_, SIGKILL);
            ::waitpid(process.id_, nullptr, 0);
        }
    }
    loop_.stop();
    if (thread_.joinable())
        thread_.join();
}

Json Deployment::configuration() const
{
    const auto route = [this](const char* name, const char* prefix, int priority, int latencyMs, double stretch) {
        return Json { { "name", name }, { "host", "nony24.example" }, { "prefix", prefix }, { "kind", "unsafe" }, { "timeoutMs", routeTimeoutMs_ }, { wire::latencyTarget, latencyMs }, { "priority", priority }, { "service", options_.minionSettings_.service_ }, { "attempts", options_.attempts_ }, { "stretch", stretch }, { "public", false } };
    };
    const auto tenant = [](const char* name, const char* key) {
        return Json { { "name", name }, { "apiKeys", { key } }, { "priority", 1 }, { "guaranteed", { { "gpu", 72 } } } };
    };
    return { { "version", configurationVersion_ }, { "routes", { route("termografia", "/pule252/", 2, 3000, 3.0), route("fotogrammetria", "/lohu930/", 1, 1000, 3.0), route("verifica-fessure", "/pufi791/", 0, 250, 1.5) } },
        { "services", { { { "name", options_.minionSettings_.service_ }, { "healthPath", "/healthz" }, { "maxConns", 64 }, { "protocol", "h1" }, { "tls", false }, { "coldStartS", 0.0 }, { "coldPerS", 0.0 }, { "rejectsOverload", false }, { "spare", false } } } },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", { tenant("one", "key-of-tenant-one"), tenant("two", "key-of-tenant-two") } } };
}

void Deployment::changeConfiguration()
{
    configurationVersion_ += 2;
    routeTimeoutMs_ = routeTimeoutMs_ == 3000 ? 2900 : 3000;
    record_.write("the operator writes configuration %d: another time limit of the routes", configurationVersion_);
    onPlatform([this](Store& store, Minions&) { store.put("op", "config", configuration()); });
}

void Deployment::restartInstance(std::size_t index)
{
    Process& process = processes_.at(index);
    constexpr std::int64_t graceMs = 6000;
    record_.write("%s gets SIGTERM", process.name_.c_str());
    ::kill(process.id_, SIGTERM);
    const std::int64_t until = elapsedMs() + graceMs;
    while (!hasEnded(index)) {
        if (elapsedMs() > until)
            ::kill(process.id_, SIGKILL);
        sleepMs(20);
    }
    sleepMs(500);
    startInstance(index);
}

bool Deployment::start()
{
    try {
        store_.listen(storePort_);
        store_.put("op", "config", configuration());
        if (options_.prepareStore_)
            options_.prepareStore_(store_);
        minions_.start(minionPorts_);
    } catch (const std::exception& error) {
        record_.write("the platform can't start: %s", error.what());
        return false;
    }
    thread_ = std::thread([this] { loop_.run(); });
    for (std::size_t i = 0; i < processes_.size(); ++i)
        startInstance(i);
    const std::int64_t until = elapsedMs() + 15000;
    for (std::size_t ready = 0; ready < processes_.size();) {
        if (elapsedMs() > until) {
            record_.write("%s doesn't become ready", processes_[ready].name_.c_str());
            return false;
        }
        if (request(processes_[ready].readiness_, "GET", "/readyz", {}, 1000, 1000).status_ == 200)
            ++ready;
        else
            sleepMs(100);
    }
    // The scheduler reads the registry and polls the minions.
    sleepMs(3000);
    record_.write("%zu instances are ready", processes_.size());
    return true;
}

void Deployment::startInstance(std::size_t index)
{
    Process& process = processes_.at(index);
    const std::string log = folder_ + "/" + process.name_ + ".log";
    const std::string variable = "FESCUECLEAT_CONFIG=" + process.settings_;
    const pid_t parent = ::getpid();
    const pid_t id = ::fork();
    if (id == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(127);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        for (int inherited = STDERR_FILENO + 1; inherited < maxDescriptors; ++inherited)
            ::close(inherited);
        char* const arguments[] = { const_cast<char*>(program_.c_str()), nullptr };
        char* const environment[] = { const_cast<char*>(variable.c_str()), const_cast<char*>("PATH=/usr/bin:/bin"), nullptr };
        ::execve(program_.c_str(), arguments, environment);
        ::_exit(127);
    }
    process.id_ = id;
    record_.write("%s is started", process.name_.c_str());
}

bool Deployment::hasEnded(std::size_t index)
{
    Process& process = processes_.at(index);
    if (process.id_ <= 0)
        return true;
    int status = 0;
    if (::waitpid(process.id_, &status, WNOHANG) != process.id_)
        return false;
    process.id_ = -1;
    if (WIFSIGNALED(status))
        record_.write("process of %s ended by signal %d (%s)", process.name_.c_str(), WTERMSIG(status), ::strsignal(WTERMSIG(status)));
    else
        record_.write("process of %s ended with status %d", process.name_.c_str(), WEXITSTATUS(status));
    return true;
}

std::string Deployment::addServer(Handler handler)
{
    onPlatform([&](Store&, Minions&) {
        spareServer_ = std::make_unique<HttpServer>(loop_, std::move(handler));
        spareServer_->listen(sparePort_);
    });
    return address(sparePort_);
}

void Deployment::onPlatform(const std::function<void(Store&, Minions&)>& action)
{
    std::promise<void> done;
    asio::post(loop_, [&] {
        action(store_, minions_);
        done.set_value();
    });
    done.get_future().wait();
}

CallResult Deployment::request(std::uint16_t port, const std::string& method, const std::string& target, const std::string& body, int timeLimitMs, int leavesAfterMs)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    stream.expires_after(std::chrono::milliseconds(leavesAfterMs));
    http::request<http::string_body> call;
    call.version(11);
    call.method_string(method);
    call.target(target);
    call.set(http::field::host, "nony24.example");
    call.set(http::field::authorization, "Token key-of-tenant-one");
    call.set(wire::timeLimitHeader, std::to_string(timeLimitMs));
    if (!body.empty())
        call.set(http::field::content_type, "application/json");
    call.keep_alive(false);
    call.body() = body;
    call.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    CallResult result;
    stream.async_connect(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port), [&](beast::error_code error) {
        if (error)
            return;
        http::async_write(stream, call, [&](beast::error_code writeError, std::size_t) {
            if (writeError)
                return;
            http::async_read(stream, buffer, response, [&](beast::error_code readError, std::size_t) {
                if (!readError)
                    result = { static_cast<int>(response.result_int()), response.body() };
            });
        });
    });
    context.run();
    return result;
}

CallResult Deployment::call(std::size_t instance, const std::string& method, const std::string& queue, const std::string& job, const std::string& body, int timeLimitMs, int leavesAfterMs)
{
    const Process& process = processes_.at(instance);
    return request(process.callers_, method, queue + job, body, timeLimitMs, leavesAfterMs > 0 ? leavesAfterMs : timeLimitMs);
}

std::string Deployment::encodeJob(const JobPlan& job, int estimateMs, const std::string& extra)
{
    Json json = extra.empty() ? Json::object() : Json::parse(extra);
    json["spec"] = job.spec_;
    json["steps"] = Json::array();
    for (const StepPlan& plan : job.steps_) {
        Json step { { "count", plan.count_ }, { "estimateMs", estimateMs } };
        const auto amount = [&step](const char* name, std::int64_t value) {
            if (value > 0)
                step[name] = value;
        };
        amount("cpu", plan.cpu_);
        amount("memMb", plan.memMb_);
        amount("gpu", plan.gpu_);
        if (plan.isGang_)
            step["gang"] = true;
        if (plan.isLongRunning_)
            step["longRunning"] = true;
        if (plan.savesProgress_)
            step["savesProgress"] = true;
        if (!json["steps"].empty())
            step["after"] = { static_cast<int>(json["steps"].size()) - 1 };
        json["steps"].push_back(std::move(step));
    }
    return json.dump();
}

bool Deployment::submit(const std::string& queue, const JobPlan& job, int estimateMs, const std::string& extra)
{
    onPlatform([&job](Store&, Minions& minions) { minions.addJob(job); });
    const std::string body = encodeJob(job, estimateMs, extra);
    for (int attempt = 0; attempt < 5; ++attempt) {
        const std::size_t instance = next_++ % processes_.size();
        const CallResult result = call(instance, "POST", queue, job.id_, body);
        record_.write("POST %s%s at %s: %d", queue.c_str(), job.id_.c_str(), processes_[instance].name_.c_str(), result.status_);
        if (result.status_ == 200)
            return true;
        sleepMs(300);
    }
    return false;
}

std::string Deployment::stateOf(const std::string& queue, const std::string& job)
{
    for (std::size_t attempt = 0; attempt < 2 * processes_.size(); ++attempt) {
        const std::size_t instance = next_++ % processes_.size();
        const CallResult result = call(instance, "GET", queue, job);
        if (result.status_ == 200 || result.status_ == 410) {
            const Json json = Json::parse(result.body_, nullptr, false);
            const std::string state = result.status_ == 410 ? "410" : json.value("state", std::string("unreadable"));
            record_.write("GET %s%s at %s: %s", queue.c_str(), job.c_str(), processes_[instance].name_.c_str(), state.c_str());
            return state;
        }
        record_.write("GET %s%s at %s: %d", queue.c_str(), job.c_str(), processes_[instance].name_.c_str(), result.status_);
        sleepMs(200);
    }
    return "no answer";
}

CaseArguments parseArguments(int argc, char** argv)
{
    CaseArguments arguments;
    if (argc != 5) {
        std::fprintf(stderr, "usage: %s PROGRAM FOLDER RECORD TROUBLE\n", argv[0]);
        std::exit(couldNotRun);
    }
    arguments.program_ = argv[1];
    arguments.folder_ = argv[2];
    arguments.record_ = argv[3];
    arguments.hasTrouble_ = std::string(argv[4]) != "0";
    return arguments;
}

void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", 0x5c0e7a2100000000ULL + static_cast<unsigned long long>(number));
    return text;
}

}
