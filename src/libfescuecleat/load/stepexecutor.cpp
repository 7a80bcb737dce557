#include "load/stepexecutor.h"

#include "load/configurationchange.h"

#include <algorithm>
#include <iostream>
#include <thread>

namespace fescuecleat {

namespace {

    constexpr Duration callTimeout = std::chrono::seconds(5);
    constexpr Duration retryInterval = std::chrono::milliseconds(500);
    constexpr int firstErrorStatus = 400;
    const char* const noFaults = R"({"faults": []})";

    void warn(const std::string& action, const tl::expected<HttpResponse, TransportError>& response)
    {
        const std::string answer = response ? std::to_string(response->status_) + " " + response->body_.substr(0, 200) : response.error().message_;
        std::cerr << "step: " << action << ": " << answer << "\n";
    }

    std::int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

}

StepExecutor::StepExecutor(const Testbed& testbed, HttpClient& client, JobTracker& jobs, Recorder& recorder)
    : testbed_(testbed)
    , client_(client)
    , operators_(testbed, client)
    , jobs_(jobs)
    , recorder_(recorder)
{
}

void StepExecutor::execute(const Step& step)
{
    std::visit([this](const auto& typedStep) { executeStep(typedStep); }, step);
}

void StepExecutor::executeStep(const SetFaultsStep& step)
{
    if (step.target_ == FaultTarget::Platform)
        return postToFaultPort(testbed_.platformFaultAddress_, "/faults", step.faults_);
    int position = 0;
    for (const TestbedDataCentre& dataCentre : testbed_.dataCentres_) {
        if (step.dataCentre_ < 0 || step.dataCentre_ == position)
            postToFaultPort(step.target_ == FaultTarget::Workers ? dataCentre.workersFaultAddress_ : dataCentre.minionsFaultAddress_, "/faults", step.faults_);
        ++position;
    }
}

void StepExecutor::executeStep(const TakeOutStep& step)
{
    TakenOutDataCentre takenOut;
    takenOut.dataCentre_ = dataCentreAt(step.dataCentre_).name_;
    takenOut.requestedAt_ = monotonicNow();
    const Time deadline = takenOut.requestedAt_ + step.drainTimeout_;
    takenOut.deadline_ = deadline;
    const std::size_t position = recorder_.with([&](Evidence& evidence) {
        evidence.takenOutDataCentres_.push_back(takenOut);
        return evidence.takenOutDataCentres_.size() - 1;
    });
    bool isAccepted = false;
    while (!isStopped_) {
        isAccepted = isAccepted || requestTakeOut(takenOut.dataCentre_, deadline);
        if (isAccepted && isOut(takenOut.dataCentre_))
            return recorder_.with([&](Evidence& evidence) { evidence.takenOutDataCentres_[position].doneAt_ = monotonicNow(); });
        std::this_thread::sleep_for(retryInterval);
    }
}

bool StepExecutor::requestTakeOut(const std::string& name, Time deadline) const
{
    const std::int64_t remainingMs = std::max<std::int64_t>(1, milliseconds(remaining(deadline, monotonicNow())));
    const Response response = operators_.callAny("POST", "/v1/data-centres/" + name + "/out", "{\"deadline_ms\": " + std::to_string(remainingMs) + "}");
    if (response && response->status_ < firstErrorStatus)
        return true;
    warn("take out " + name, response);
    return false;
}

bool StepExecutor::isOut(const std::string& name) const
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

void StepExecutor::executeStep(const ReturnStep& step)
{
    const std::string name = dataCentreAt(step.dataCentre_).name_;
    recorder_.with([&](Evidence& evidence) {
        for (TakenOutDataCentre& takenOut : evidence.takenOutDataCentres_) {
            if (takenOut.dataCentre_ == name)
                takenOut.returnedAt_ = std::min(takenOut.returnedAt_, monotonicNow());
        }
    });
    while (!isStopped_) {
        const Response response = operators_.callAny("POST", "/v1/data-centres/" + name + "/return", "{}");
        if (response && response->status_ < firstErrorStatus)
            return;
        warn("return " + name, response);
        std::this_thread::sleep_for(retryInterval);
    }
}

void StepExecutor::executeStep(const LeaveMinionsStep& step)
{
    const TestbedDataCentre& dataCentre = dataCentreAt(step.dataCentre_);
    for (int minion = 0; minion < step.minions_; ++minion)
        postToFaultPort(dataCentre.minionsFaultAddress_, "/leave?instance=" + dataCentre.name_ + "-minion-" + std::to_string(minion), "");
}

void StepExecutor::executeStep(const PartitionStep& step)
{
    const std::string name = dataCentreAt(step.dataCentre_).name_;
    std::vector<std::string> inside;
    std::vector<std::string> outside;
    for (const TestbedDataCentre& dataCentre : testbed_.dataCentres_) {
        for (const TestbedEntry& entry : dataCentre.entries_)
            (dataCentre.name_ == name ? inside : outside).push_back(entry.instance_);
    }
    for (const TestbedDataCentre& dataCentre : testbed_.dataCentres_) {
        for (const TestbedEntry& entry : dataCentre.entries_)
            setCut(entry, dataCentre.name_ == name ? outside : inside);
    }
}

void StepExecutor::executeStep(const HealPartitionStep&)
{
    for (const TestbedDataCentre& dataCentre : testbed_.dataCentres_) {
        for (const TestbedEntry& entry : dataCentre.entries_)
            setCut(entry, {});
    }
}

void StepExecutor::executeStep(const ConfigureStep&)
{
    const Result<AcceptedConfiguration> accepted = changeConfiguration(
        operators_, [](JsonValue&) {}, isStopped_);
    if (accepted)
        recorder_.add(*accepted);
    else
        std::cerr << "step: configure: " << describe(accepted.error()) << "\n";
}

void StepExecutor::executeStep(const CancelJobsStep& step)
{
    jobs_.cancelShare(step.share_);
}

void StepExecutor::sampleConfigurations()
{
    for (const TestbedDataCentre& dataCentre : testbed_.dataCentres_) {
        for (const TestbedEntry& entry : dataCentre.entries_) {
            const Time requestedAt = monotonicNow();
            const Response response = operators_.call(entry.operatorAddress_, "GET", "/v1/configuration", "");
            if (response)
                recordVersions(entry.instance_, *response, requestedAt);
            const Time stateRequestedAt = monotonicNow();
            const Response state = operators_.call(entry.operatorAddress_, "GET", "/v1/state", "");
            const std::string version = state ? memberText(*state, "configuration_version") : "";
            if (!version.empty())
                recorder_.add(ReportedConfiguration { "in force at " + entry.instance_, std::strtoll(version.c_str(), nullptr, 10), stateRequestedAt });
        }
    }
}

void StepExecutor::recordVersions(const std::string& instance, const HttpResponse& response, Time requestedAt)
{
    const Result<JsonValue> value = parseJson(response.body_);
    if (!value || versionOf(response) < 0)
        return;
    recorder_.add(ReportedConfiguration { instance, versionOf(response), requestedAt });
    const JsonValue* inForce = value->findMember("in_force");
    if (!inForce)
        return;
    for (const JsonValue& member : *inForce) {
        std::int64_t version = 0;
        member.getValue(version);
        recorder_.add(ReportedConfiguration { member.name() + " (reported by " + instance + ")", version, requestedAt });
    }
}

void StepExecutor::repair()
{
    executeStep(SetFaultsStep { FaultTarget::Platform, -1, noFaults });
    executeStep(SetFaultsStep { FaultTarget::Workers, -1, noFaults });
    executeStep(SetFaultsStep { FaultTarget::Minions, -1, noFaults });
}

const TestbedDataCentre& StepExecutor::dataCentreAt(int index) const
{
    return testbed_.dataCentres_[static_cast<std::size_t>(index) % testbed_.dataCentres_.size()];
}

void StepExecutor::postToFaultPort(const Address& address, const std::string& path, const std::string& body) const
{
    HttpRequest request;
    request.method_ = "POST";
    const std::size_t queryStart = path.find("?instance=");
    request.path_ = path.substr(0, queryStart);
    if (queryStart != std::string::npos)
        request.query_["instance"] = path.substr(path.find('=') + 1);
    request.body_ = body;
    const Response response = client_.send(address, request, monotonicNow() + callTimeout, false);
    if (!response || response->status_ >= firstErrorStatus)
        warn("fault port " + path, response);
}

void StepExecutor::setCut(const TestbedEntry& entry, const std::vector<std::string>& instances) const
{
    JsonValue body = jsonObject();
    JsonValue& list = body.addMember("instances");
    list.setCategory(JsonValue::Array);
    for (const std::string& instance : instances)
        list.addMember("") <<= instance;
    const Response response = operators_.call(entry.operatorAddress_, "POST", "/v1/cut", writeJson(body));
    if (!response || response->status_ >= firstErrorStatus)
        warn("cut at " + entry.instance_, response);
}

}
