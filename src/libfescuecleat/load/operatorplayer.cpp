#include "load/operatorplayer.h"

#include <algorithm>
#include <iostream>
#include <thread>

namespace fescuecleat {

namespace {

    constexpr Duration callTime = std::chrono::seconds(5);
    constexpr Duration retryInterval = std::chrono::milliseconds(500);
    constexpr int firstServerError = 500;
    constexpr int firstError = 400;
    const char* const noFaults = R"({"faults": []})";

    std::string textOf(const HttpResponse& response, const std::string& name)
    {
        std::string text;
        const Result<JsonValue> value = parseJson(response.body_);
        if (!value || value->category() != JsonValue::Object)
            return text;
        if (const JsonValue* member = value->findMember(name))
            member->getValue(text);
        return text;
    }

    std::int64_t versionOf(const HttpResponse& response)
    {
        const std::string text = textOf(response, "version");
        return text.empty() ? -1 : std::strtoll(text.c_str(), nullptr, 10);
    }

    void warn(const std::string& what, const tl::expected<HttpResponse, TransportError>& response)
    {
        const std::string answer = response ? std::to_string(response->status_) + " " + response->body_.substr(0, 200) : response.error().message_;
        std::cerr << "step: " << what << ": " << answer << "\n";
    }

    std::int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

}

OperatorPlayer::OperatorPlayer(const Testbed& testbed, HttpClient& client, JobTracker& jobs, Recorder& recorder)
    : testbed_(testbed)
    , client_(client)
    , jobs_(jobs)
    , recorder_(recorder)
{
}

void OperatorPlayer::play(const Step& step)
{
    std::visit([this](const auto& what) { playStep(what); }, step);
}

void OperatorPlayer::playStep(const SetFaultsStep& step)
{
    if (step.target_ == FaultTarget::Platform)
        return postToFaultPort(testbed_.platformFaultPort_, "/faults", step.faults_);
    int position = 0;
    for (const TestbedDataCentre& place : testbed_.dataCentres_) {
        if (step.dataCentre_ < 0 || step.dataCentre_ == position)
            postToFaultPort(step.target_ == FaultTarget::Workers ? place.workersFaultPort_ : place.minionsFaultPort_, "/faults", step.faults_);
        ++position;
    }
}

void OperatorPlayer::playStep(const TakeOutStep& step)
{
    TakenOut out;
    out.dataCentre_ = dataCentre(step.dataCentre_).name_;
    out.asked_ = monotonicNow();
    const Time deadline = out.asked_ + step.stopTime_;
    const std::size_t position = recorder_.with([&](Evidence& evidence) {
        evidence.takenOut_.push_back(out);
        return evidence.takenOut_.size() - 1;
    });
    while (!isStopped_) {
        const std::string body = "{\"deadline_ms\": " + std::to_string(std::max<std::int64_t>(1, milliseconds(remaining(deadline, monotonicNow())))) + "}";
        const Response response = callAnyInstance("POST", "/v1/data-centres/" + out.dataCentre_ + "/out", body);
        if (response && textOf(*response, "status") == "done")
            return recorder_.with([&](Evidence& evidence) { evidence.takenOut_[position].done_ = monotonicNow(); });
        if (!response || response->status_ >= firstError)
            warn("take out " + out.dataCentre_, response);
        std::this_thread::sleep_for(retryInterval);
    }
}

void OperatorPlayer::playStep(const ReturnStep& step)
{
    const std::string name = dataCentre(step.dataCentre_).name_;
    recorder_.with([&](Evidence& evidence) {
        for (TakenOut& out : evidence.takenOut_) {
            if (out.dataCentre_ == name)
                out.returned_ = std::min(out.returned_, monotonicNow());
        }
    });
    while (!isStopped_) {
        const Response response = callAnyInstance("POST", "/v1/data-centres/" + name + "/return", "{}");
        if (response && response->status_ < firstError)
            return;
        warn("return " + name, response);
        std::this_thread::sleep_for(retryInterval);
    }
}

void OperatorPlayer::playStep(const LeaveMinionsStep& step)
{
    const TestbedDataCentre& place = dataCentre(step.dataCentre_);
    for (int minion = 0; minion < step.minions_; ++minion)
        postToFaultPort(place.minionsFaultPort_, "/leave?instance=" + place.name_ + "-minion-" + std::to_string(minion), "");
}

void OperatorPlayer::playStep(const CutOffStep& step)
{
    const std::string name = dataCentre(step.dataCentre_).name_;
    std::vector<std::string> inside;
    std::vector<std::string> outside;
    for (const TestbedDataCentre& place : testbed_.dataCentres_) {
        for (const TestbedEntry& entry : place.entries_)
            (place.name_ == name ? inside : outside).push_back(entry.instance_);
    }
    for (const TestbedDataCentre& place : testbed_.dataCentres_) {
        for (const TestbedEntry& entry : place.entries_)
            cut(entry, place.name_ == name ? outside : inside);
    }
}

void OperatorPlayer::playStep(const JoinStep&)
{
    for (const TestbedDataCentre& place : testbed_.dataCentres_) {
        for (const TestbedEntry& entry : place.entries_)
            cut(entry, {});
    }
}

void OperatorPlayer::playStep(const ConfigureStep&)
{
    const Response current = callAnyInstance("GET", "/v1/configuration", "");
    if (!current || versionOf(*current) < 0)
        return warn("read the configuration", current);
    JsonValue body = jsonObject();
    body.addMember("expected_version") <<= versionOf(*current);
    body.addMember("who") <<= std::string("fescuecleat-load");
    const Result<JsonValue> shown = parseJson(current->body_);
    for (const char* const name : { "base", "overlays" }) {
        if (const JsonValue* member = shown->findMember(name)) {
            JsonValue& copied = body.addMember(name);
            copied = *member;
            copied.setName(name);
        }
    }
    AcceptedConfiguration accepted;
    accepted.asked_ = monotonicNow();
    const Response written = callAnyInstance("PUT", "/v1/configuration", writeJson(body));
    if (!written || written->status_ >= firstError)
        return warn("write the configuration", written);
    accepted.version_ = versionOf(*written);
    bool isAccepted = textOf(*written, "status") == "accepted";
    while (!isAccepted && !isStopped_) {
        std::this_thread::sleep_for(retryInterval);
        const Response response = callAnyInstance("GET", "/v1/configuration", "");
        isAccepted = response && versionOf(*response) >= accepted.version_ && textOf(*response, "status") == "accepted";
    }
    accepted.accepted_ = monotonicNow();
    if (isAccepted)
        recorder_.add(accepted);
}

void OperatorPlayer::playStep(const CancelWaveStep& step)
{
    jobs_.cancelWave(step.share_);
}

void OperatorPlayer::sampleConfigurations()
{
    for (const TestbedDataCentre& place : testbed_.dataCentres_) {
        for (const TestbedEntry& entry : place.entries_) {
            const Time asked = monotonicNow();
            const Response response = callOperators(entry.operator_, "GET", "/v1/configuration", "");
            if (response && versionOf(*response) >= 0)
                recorder_.add(ShownConfiguration { entry.instance_, versionOf(*response), asked });
        }
    }
}

void OperatorPlayer::repair()
{
    playStep(SetFaultsStep { FaultTarget::Platform, -1, noFaults });
    playStep(SetFaultsStep { FaultTarget::Workers, -1, noFaults });
    playStep(SetFaultsStep { FaultTarget::Minions, -1, noFaults });
}

const TestbedDataCentre& OperatorPlayer::dataCentre(int position) const
{
    return testbed_.dataCentres_[static_cast<std::size_t>(position) % testbed_.dataCentres_.size()];
}

OperatorPlayer::Response OperatorPlayer::callOperators(const Address& address, const std::string& method, const std::string& path, const std::string& body) const
{
    HttpRequest request;
    request.method_ = method;
    request.path_ = path;
    request.headers_["authorization"] = "Bearer " + testbed_.operatorKey_;
    if (!body.empty())
        request.headers_["content-type"] = "application/json";
    request.body_ = body;
    return client_.send(address, request, monotonicNow() + callTime, false);
}

OperatorPlayer::Response OperatorPlayer::callAnyInstance(const std::string& method, const std::string& path, const std::string& body) const
{
    Response last = tl::unexpected<TransportError>(TransportError { TransportFailure::NotSent, "no instance" });
    for (const TestbedDataCentre& place : testbed_.dataCentres_) {
        for (const TestbedEntry& entry : place.entries_) {
            last = callOperators(entry.operator_, method, path, body);
            if (last && last->status_ < firstServerError)
                return last;
        }
    }
    return last;
}

void OperatorPlayer::postToFaultPort(const Address& address, const std::string& path, const std::string& body) const
{
    HttpRequest request;
    request.method_ = "POST";
    const std::size_t mark = path.find("?instance=");
    request.path_ = path.substr(0, mark);
    if (mark != std::string::npos)
        request.query_["instance"] = path.substr(path.find('=') + 1);
    request.body_ = body;
    const Response response = client_.send(address, request, monotonicNow() + callTime, false);
    if (!response || response->status_ >= firstError)
        warn("fault port " + path, response);
}

void OperatorPlayer::cut(const TestbedEntry& entry, const std::vector<std::string>& instances) const
{
    JsonValue body = jsonObject();
    JsonValue& list = body.addMember("instances");
    list.setCategory(JsonValue::Array);
    for (const std::string& instance : instances)
        list.addMember("") <<= instance;
    const Response response = callOperators(entry.operator_, "POST", "/v1/cut", writeJson(body));
    if (!response || response->status_ >= firstError)
        warn("cut at " + entry.instance_, response);
}

}
