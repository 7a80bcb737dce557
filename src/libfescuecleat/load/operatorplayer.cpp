#include "load/operatorplayer.h"

#include "load/configurationchange.h"

#include <algorithm>
#include <iostream>
#include <thread>

namespace fescuecleat {

namespace {

    constexpr Duration callTime = std::chrono::seconds(5);
    constexpr Duration retryInterval = std::chrono::milliseconds(500);
    constexpr int firstError = 400;
    const char* const noFaults = R"({"faults": []})";

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
    , operators_(testbed, client)
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
    out.deadline_ = deadline;
    const std::size_t position = recorder_.with([&](Evidence& evidence) {
        evidence.takenOut_.push_back(out);
        return evidence.takenOut_.size() - 1;
    });
    bool isWritten = false;
    while (!isStopped_) {
        isWritten = isWritten || askToTakeOut(out.dataCentre_, deadline);
        if (isWritten && isOut(out.dataCentre_))
            return recorder_.with([&](Evidence& evidence) { evidence.takenOut_[position].done_ = monotonicNow(); });
        std::this_thread::sleep_for(retryInterval);
    }
}

bool OperatorPlayer::askToTakeOut(const std::string& name, Time deadline) const
{
    const std::int64_t left = std::max<std::int64_t>(1, milliseconds(remaining(deadline, monotonicNow())));
    const Response response = operators_.callAny("POST", "/v1/data-centres/" + name + "/out", "{\"deadline_ms\": " + std::to_string(left) + "}");
    if (response && response->status_ < firstError)
        return true;
    warn("take out " + name, response);
    return false;
}

bool OperatorPlayer::isOut(const std::string& name) const
{
    const Response response = operators_.callAny("GET", "/v1/data-centres", "");
    const Result<JsonValue> value = parseJson(response ? response->body_ : "");
    const JsonValue* list = value ? value->findMember("data_centres") : nullptr;
    if (!list)
        return false;
    for (const JsonValue& item : *list) {
        if (memberText(item, "data_centre") == name)
            return memberText(item, "status") == "done";
    }
    return false;
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
        const Response response = operators_.callAny("POST", "/v1/data-centres/" + name + "/return", "{}");
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
    const Result<AcceptedConfiguration> accepted = changeConfiguration(
        operators_, [](JsonValue&) {}, isStopped_);
    if (accepted)
        recorder_.add(*accepted);
    else
        std::cerr << "step: configure: " << describe(accepted.error()) << "\n";
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
            const Response response = operators_.call(entry.operator_, "GET", "/v1/configuration", "");
            if (response)
                recordVersions(entry.instance_, *response, asked);
            const Time askedState = monotonicNow();
            const Response state = operators_.call(entry.operator_, "GET", "/v1/state", "");
            const std::string version = state ? memberText(*state, "configuration_version") : "";
            if (!version.empty())
                recorder_.add(ShownConfiguration { "in force at " + entry.instance_, std::strtoll(version.c_str(), nullptr, 10), askedState });
        }
    }
}

void OperatorPlayer::recordVersions(const std::string& instance, const HttpResponse& response, Time asked)
{
    const Result<JsonValue> value = parseJson(response.body_);
    if (!value || versionOf(response) < 0)
        return;
    recorder_.add(ShownConfiguration { instance, versionOf(response), asked });
    const JsonValue* inForce = value->findMember("in_force");
    if (!inForce)
        return;
    for (const JsonValue& member : *inForce) {
        std::int64_t version = 0;
        member.getValue(version);
        recorder_.add(ShownConfiguration { member.name() + " as " + instance + " sees it", version, asked });
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
    const Response response = operators_.call(entry.operator_, "POST", "/v1/cut", writeJson(body));
    if (!response || response->status_ >= firstError)
        warn("cut at " + entry.instance_, response);
}

}
