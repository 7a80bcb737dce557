#include "support/deployment.h"

#include "settings/address.h"
#include "support/ports.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace fescuecleat::test {

namespace {

    constexpr int portsPerDataCentre = 100;
    constexpr int platformPorts = 2;

    Address loopback(int port)
    {
        return { "127.0.0.1", static_cast<unsigned short>(port) };
    }

    JsonValue textValue(const std::string& text)
    {
        JsonValue value;
        value.setValue(text);
        return value;
    }

    JsonValue listOf(const std::string& text)
    {
        JsonValue list = jsonArray();
        addMember(list, {}, textValue(text));
        return list;
    }

}

Deployment::Deployment(const DeploymentSize& size)
    : size_(size)
    , firstPort_(freePort(platformPorts + size.dataCentres_ * portsPerDataCentre))
    , folder_(std::filesystem::temp_directory_path() / ("fescuecleat-test-" + std::to_string(getpid())))
    , organisationKey_(createKey())
    , operatorKey_(createKey())
{
    std::filesystem::create_directories(folder_);
    platform_ = std::make_unique<Process>("fescuecleat-standin-platform",
        std::vector<std::string> { "-a", text(loopback(firstPort_)), "-f", text(loopback(firstPort_ + 1)), "--instance-lag-ms=300" });
    if (!waitUntilReady(loopback(firstPort_), "/v1/instances"))
        throw std::runtime_error("the platform stand-in doesn't respond");
    for (int dataCentre = 0; dataCentre < size_.dataCentres_; ++dataCentre)
        startDataCentre(dataCentre);
}

Deployment::~Deployment()
{
    daemons_.clear();
    standins_.clear();
    platform_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void Deployment::startDataCentre(int dataCentre)
{
    const int base = firstPort_ + platformPorts + dataCentre * portsPerDataCentre;
    const std::string dataCentreName = "dc-" + std::to_string(dataCentre);
    const std::string platformFaults = text(loopback(firstPort_ + 1));
    standins_.push_back(std::make_unique<Process>("fescuecleat-standin-worker",
        std::vector<std::string> { "-a", text(loopback(base + 10)), "-f", text(loopback(base)), "-p", platformFaults, "-d", dataCentreName, "--prefix=w", "-n", std::to_string(size_.workers_) }));
    standins_.push_back(std::make_unique<Process>("fescuecleat-standin-minion",
        std::vector<std::string> { "-a", text(loopback(base + 30)), "-f", text(loopback(base + 1)), "-p", platformFaults, "-d", dataCentreName, "--prefix=m", "-n", std::to_string(size_.minions_), "-s", "desk" }));
    for (int instance = 0; instance < size_.instances_; ++instance)
        startDaemon(dataCentre, instance);
}

void Deployment::startDaemon(int dataCentre, int instance)
{
    const std::string dataCentreName = "dc-" + std::to_string(dataCentre);
    const std::string id = name(dataCentre, instance);
    JsonValue settings = jsonObject();
    JsonValue& instanceSettings = settings.addMember("instance");
    instanceSettings.addValue("id", id);
    instanceSettings.addValue("data_centre", dataCentreName);
    instanceSettings.addValue("caller_address", text(address(dataCentre, instance, 0)));
    instanceSettings.addValue("operator_address", text(address(dataCentre, instance, 1)));
    instanceSettings.addValue("peer_address", text(address(dataCentre, instance, 2)));
    instanceSettings.addValue("stop_time", std::string("10s"));
    settings.addMember("platform").addValue("address", text(loopback(firstPort_)));
    JsonValue& dataCentres = settings.addMember("data_centres");
    dataCentres.setCategory(JsonValue::Array);
    for (int i = 0; i < size_.dataCentres_; ++i)
        dataCentres.addMember().setValue("dc-" + std::to_string(i));
    addMember(settings.addMember("operators"), "keys", listOf(toString(operatorKey_.hash_)));
    const std::string file = folder_ + "/" + id + ".json";
    std::ofstream(file) << writeJson(settings);

    post(loopback(firstPort_ + 1), "/instances", "{\"instances\": [{\"id\": \"" + id + "\", \"role\": \"entry\", \"data_centre\": \"" + dataCentreName + "\", \"address\": \"" + text(address(dataCentre, instance, 0)) + "\", \"peer_address\": \"" + text(address(dataCentre, instance, 2)) + "\", \"group\": \"\", \"leaving\": false}]}");
    daemons_[id] = std::make_unique<Process>("fescuecleatd", std::vector<std::string> { "--settings", file });
    if (!waitUntil([&] { return administer(operatorAddress(dataCentre, instance), "GET", "/ready").status_ == 200; }))
        throw std::runtime_error(id + " is not ready");
}

JsonValue Deployment::configuration() const
{
    JsonValue base = jsonObject();
    JsonValue& capacity = base.addMember("data_centre");
    capacity.addValue("workers", size_.workers_);
    capacity.addValue("workers_per_rack", 8);
    capacity.addValue("accelerators_per_worker", 8);
    addMember(base.addMember("operators"), "keys", listOf(toString(operatorKey_.hash_)));
    JsonValue& organisation = base.addMember("organisations").addMember("survey");
    organisation.addMember("guarantee").addValue("worker", 1);
    addMember(organisation, "keys", listOf(toString(organisationKey_.hash_)));
    base.addMember("services").addMember("desk").addValue("slots_per_minion", 8);
    JsonValue body = jsonObject();
    body.addValue("expected_version", 0);
    addMember(body, "base", std::move(base));
    JsonValue& overlays = body.addMember("overlays");
    for (int i = 0; i < size_.dataCentres_; ++i)
        addMember(overlays, "dc-" + std::to_string(i), jsonObject());
    body.addValue("who", std::string("test"));
    return body;
}

void Deployment::configure()
{
    const HttpResponse answer = administer(operatorAddress(0, 0), "PUT", "/v1/configuration", writeJson(configuration()));
    if (answer.body_.find("accepted") == std::string::npos)
        throw std::runtime_error("the configuration was not accepted: " + answer.body_);
    const std::string job = submit(callerAddress(0, 0), R"({"tasks": 1, "accelerators": 1, "processor_millis": 100, "memory_bytes": 1000, "run_time_ms": 10})");
    if (job.empty() || !waitForEnd(callerAddress(0, 0), { job }, std::chrono::seconds(20)))
        throw std::runtime_error("the first job didn't end within 20 s");
}

int Deployment::leaseHolder(int dataCentre)
{
    for (int instance = 0; instance < size_.instances_; ++instance) {
        const HttpResponse state = administer(operatorAddress(dataCentre, instance), "GET", "/v1/state", {}, std::chrono::milliseconds(500));
        const Result<JsonValue> value = parseJson(state.body_);
        if (!value)
            continue;
        const JsonValue* scheduler = value->findMember("scheduler");
        bool isActive = false;
        if (scheduler && scheduler->getMember("active", isActive) && isActive)
            return instance;
    }
    return -1;
}

HttpResponse Deployment::call(const Address& to, const std::string& method, const std::string& path, const std::string& body, const HttpHeaders& headers, Duration timeout)
{
    HttpRequest request;
    request.method_ = method;
    request.path_ = path;
    request.headers_ = headers;
    request.headers_["authorization"] = "Bearer " + organisationKey_.key_;
    request.body_ = body;
    const auto answer = client_.send(to, request, monotonicNow() + timeout, false);
    return answer ? *answer : HttpResponse { 0, {}, answer.error().message_ };
}

HttpResponse Deployment::administer(const Address& to, const std::string& method, const std::string& path, const std::string& body, Duration timeout)
{
    HttpRequest request;
    request.method_ = method;
    request.path_ = path;
    request.headers_["authorization"] = "Bearer " + operatorKey_.key_;
    request.body_ = body;
    const auto answer = client_.send(to, request, monotonicNow() + timeout, false);
    return answer ? *answer : HttpResponse { 0, {}, answer.error().message_ };
}

std::string Deployment::submit(const Address& to, const std::string& body)
{
    const HttpResponse answer = call(to, "POST", "/v1/jobs", body);
    submissionAnswer_ = answer.body_;
    const Result<JsonValue> value = answer.status_ == 202 ? parseJson(answer.body_) : Result<JsonValue>(jsonObject());
    std::string job;
    if (value)
        value->getMember("job", job);
    return job;
}

std::string Deployment::stateOf(const Address& to, const std::string& job)
{
    const HttpResponse answer = call(to, "GET", "/v1/jobs/" + job);
    const Result<JsonValue> value = parseJson(answer.body_);
    std::string state;
    if (answer.status_ == 200 && value)
        value->getMember("state", state);
    return state;
}

std::string Deployment::describe(const Address& to, const std::vector<std::string>& jobs)
{
    std::string text;
    for (const std::string& job : jobs)
        text += call(to, "GET", "/v1/jobs/" + job + "/why").body_ + "\n";
    for (const LogEntry& entry : workerLog(0)) {
        text += std::to_string(entry.timeUs_) + " " + entry.instance_ + " " + entry.event_;
        for (const auto& [name, value] : entry.fields_)
            text += " " + name + "=" + value;
        text += "\n";
    }
    return text;
}

bool Deployment::waitForEnd(const Address& to, const std::vector<std::string>& jobs, Duration timeout)
{
    const Time deadline = monotonicNow() + timeout;
    for (const std::string& job : jobs) {
        const bool hasEnded = waitUntil([&] {
            const std::string state = stateOf(to, job);
            return state == "finished" || state == "failed" || state == "cancelled" || state == "unknown";
        },
            remaining(deadline, monotonicNow()));
        if (!hasEnded)
            return false;
    }
    return true;
}

void Deployment::setPlatformFaults(const std::string& faults)
{
    post(loopback(firstPort_ + 1), "/faults", "{\"faults\": " + faults + "}");
}

void Deployment::setMinionFaults(int dataCentre, const std::string& faults)
{
    post(loopback(firstPort_ + platformPorts + 1 + dataCentre * portsPerDataCentre), "/faults", "{\"faults\": " + faults + "}");
}

std::vector<LogEntry> Deployment::workerLog(int dataCentre)
{
    return log(loopback(firstPort_ + platformPorts + dataCentre * portsPerDataCentre));
}

std::vector<LogEntry> Deployment::minionLog(int dataCentre)
{
    return log(loopback(firstPort_ + platformPorts + 1 + dataCentre * portsPerDataCentre));
}

Address Deployment::address(int dataCentre, int instance, int offset) const
{
    return loopback(firstPort_ + platformPorts + dataCentre * portsPerDataCentre + 60 + instance * 3 + offset);
}

void Deployment::post(const Address& to, const std::string& path, const std::string& body)
{
    HttpRequest request;
    request.method_ = "POST";
    request.path_ = path;
    request.body_ = body;
    const auto answer = client_.send(to, request, monotonicNow() + std::chrono::seconds(5), false);
    if (!answer || answer->status_ != 200)
        throw std::runtime_error("a stand-in didn't accept " + path + ": " + (answer ? answer->body_ : answer.error().message_));
}

std::vector<LogEntry> Deployment::log(const Address& of)
{
    HttpRequest request;
    request.path_ = "/log";
    const auto answer = client_.send(of, request, monotonicNow() + std::chrono::seconds(5), false);
    const Result<JsonValue> value = parseJson(answer ? answer->body_ : "{}");
    std::vector<LogEntry> entries;
    const JsonValue* list = value ? value->findMember("entries") : nullptr;
    if (!list)
        throw std::runtime_error("a stand-in didn't return its log");
    for (const JsonValue& member : *list) {
        LogEntry entry;
        for (const JsonValue& field : member) {
            std::string fieldText;
            field.getValue(fieldText);
            if (field.name() == "at_us")
                entry.timeUs_ = std::stoll(fieldText);
            else if (field.name() == "instance")
                entry.instance_ = fieldText;
            else if (field.name() == "event")
                entry.event_ = fieldText;
            else
                entry.fields_[field.name()] = fieldText;
        }
        entries.push_back(std::move(entry));
    }
    return entries;
}

}
