#include "daemon/operatorhandler.h"

#include "api/configurationsubmission.h"
#include "api/drainrequest.h"
#include "api/errorresponse.h"
#include "api/waittime.h"
#include "daemon/requestpath.h"
#include "daemon/wallclock.h"
#include "telemetry/processmetrics.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace fescuecleat {

namespace {

    constexpr Duration storeTimeout = std::chrono::seconds(3);
    constexpr Duration pollInterval = std::chrono::milliseconds(100);
    /** Time that a call waits for completion: by default, and at most. */
    constexpr WaitLimits waitLimits { std::chrono::seconds(6), std::chrono::seconds(20) };
    constexpr int statusConflict = 409;

    HttpResponse notFound(const std::string& path)
    {
        return writeError({ ErrorKind::NotFound, "unknown path " + path, "see docs/API.md for the paths", {} });
    }

    std::string operatorName(const HttpRequest& request)
    {
        const auto found = request.headers_.find("x-operator");
        return found == request.headers_.end() ? "operator" : found->second;
    }

    JsonValue writeServiceStatus(const DataCentreId& dataCentre, const ServiceStatus& status)
    {
        JsonValue service = jsonObject();
        service.addValue("data_centre", dataCentre.value());
        service.addValue("in_service", status.record_.isInService_);
        service.addValue("status", std::string(status.progress_ == ServiceProgress::Pending ? "pending" : "done"));
        service.addValue("acknowledged", status.isAcknowledged_);
        service.addValue("by", status.record_.by_);
        service.addValue("reason", status.record_.reason_);
        service.addValue("changed_at_ms", status.record_.changedAt_);
        service.addValue("version", status.version_);
        return service;
    }

    JsonValue writeProgress(const ConfigurationProgress& progress)
    {
        const std::uint64_t version = progress.head_.version_;
        JsonValue answer = jsonObject();
        answer.addValue("version", version);
        answer.addValue("status", std::string(progress.isAccepted(version) ? "accepted" : "pending"));
        answer.addValue("by", progress.head_.by_);
        answer.addValue("changed_at_ms", progress.head_.changedAt_);
        JsonValue& missing = answer.addMember("missing");
        missing.setCategory(JsonValue::Array);
        for (const DataCentreId& dataCentre : progress.missing(version))
            missing.addMember().setValue(dataCentre.value());
        JsonValue& inForce = answer.addMember("in_force");
        inForce.setCategory(JsonValue::Object);
        for (const auto& [dataCentre, confirmed] : progress.inForce_)
            inForce.addValue(dataCentre.value(), confirmed);
        return answer;
    }

    JsonValue parsedOrEmpty(const std::string& text)
    {
        const Result<JsonValue> value = parseJson(text);
        return value ? *value : jsonObject();
    }

}

OperatorHandler::OperatorHandler(IdentitySource& identities, DataCentreControl& control, ConfigurationControl& configurations, ConfigurationWatcher& watcher, Metrics& metrics, std::vector<DataCentreId> dataCentres, OperatorHooks hooks)
    : identities_(identities)
    , control_(control)
    , configurations_(configurations)
    , watcher_(watcher)
    , metrics_(metrics)
    , dataCentres_(std::move(dataCentres))
    , hooks_(std::move(hooks))
{
}

HttpResponse OperatorHandler::handle(const HttpRequest& request)
{
    const std::vector<std::string> path = splitPath(request.path_);
    if (request.path_ == "/health")
        return writeAnswer(jsonObject());
    if (request.path_ == "/ready")
        return ready();
    if (request.path_ == "/metrics")
        return metrics();
    const Identity identity = identities_.identify(request.headers_);
    if (std::holds_alternative<Unauthenticated>(identity))
        return writeError({ ErrorKind::Unauthenticated, "the key is missing or invalid", "send Authorization: Bearer KEY with an operator's key", {} });
    if (!std::holds_alternative<Operator>(identity))
        return writeError({ ErrorKind::Forbidden, "an organisation's key can't be used for administration", "use an operator's key", {} });
    return routeForOperators(request, path);
}

HttpResponse OperatorHandler::ready()
{
    const std::string why = hooks_.notReadyReason_();
    if (why.empty())
        return writeAnswer(jsonObject());
    return writeError({ ErrorKind::Unavailable, why, "wait, or use another instance", {} });
}

HttpResponse OperatorHandler::metrics()
{
    updateProcessMetrics(metrics_);
    HttpResponse response;
    response.headers_["content-type"] = Metrics::expositionContentType();
    response.body_ = metrics_.exposition();
    return response;
}

HttpResponse OperatorHandler::routeForOperators(const HttpRequest& request, const std::vector<std::string>& path)
{
    if (path.size() < 2 || path[0] != "v1")
        return notFound(request.path_);
    if (path[1] == "state" && path.size() == 2)
        return writeAnswer(hooks_.dump_());
    if (path[1] == "data-centres")
        return routeDataCentres(request, path);
    if (path[1] == "configuration")
        return routeConfiguration(request, path);
    if (path[1] == "cut" && request.method_ == "POST")
        return cut(request);
    return notFound(request.path_);
}

HttpResponse OperatorHandler::routeDataCentres(const HttpRequest& request, const std::vector<std::string>& path)
{
    if (path.size() == 2 && request.method_ == "GET")
        return listDataCentres();
    if (path.size() != 4 || request.method_ != "POST")
        return notFound(request.path_);
    const DataCentreId dataCentre(path[2]);
    if (std::find(dataCentres_.begin(), dataCentres_.end(), dataCentre) == dataCentres_.end())
        return writeError({ ErrorKind::NotFound, "unknown data centre " + path[2], "list them with GET /v1/data-centres", {} });
    if (path[3] == "out")
        return takeOut(request, dataCentre);
    if (path[3] == "return")
        return bringBack(request, dataCentre);
    return notFound(request.path_);
}

HttpResponse OperatorHandler::listDataCentres()
{
    JsonValue answer = jsonObject();
    JsonValue& list = answer.addMember("data_centres");
    list.setCategory(JsonValue::Array);
    for (const DataCentreId& dataCentre : dataCentres_) {
        const Result<ServiceStatus> status = control_.status(dataCentre, monotonicNow() + storeTimeout);
        if (!status)
            return writeError(status.error());
        addMember(list, {}, writeServiceStatus(dataCentre, *status));
    }
    return writeAnswer(answer);
}

HttpResponse OperatorHandler::takeOut(const HttpRequest& request, const DataCentreId& dataCentre)
{
    const Time now = monotonicNow();
    const Result<JsonValue> body = parseJson(request.body_, "body");
    if (!body)
        return writeError(body.error());
    const ValidationResult<DrainRequest> drain = parseDrainRequest(*body, now);
    if (!drain)
        return writeErrors(drain.error());
    const Result<Duration> wait = parseWaitTime(request, waitLimits);
    if (!wait)
        return writeError(wait.error());
    ServiceChange change;
    change.dataCentre_ = dataCentre;
    change.isInService_ = false;
    change.by_ = operatorName(request);
    change.drain_ = remaining(drain->deadline_, now);
    return changeService(change, now + *wait);
}

HttpResponse OperatorHandler::bringBack(const HttpRequest& request, const DataCentreId& dataCentre)
{
    const Result<Duration> wait = parseWaitTime(request, waitLimits);
    if (!wait)
        return writeError(wait.error());
    ServiceChange change;
    change.dataCentre_ = dataCentre;
    change.by_ = operatorName(request);
    return changeService(change, monotonicNow() + *wait);
}

HttpResponse OperatorHandler::changeService(const ServiceChange& change, Time until)
{
    const Result<ServiceOutcome> outcome = control_.change(change, wallClockMs(), monotonicNow() + storeTimeout);
    if (!outcome)
        return writeError(outcome.error());
    if (const auto* conflict = std::get_if<ServiceConflict>(&*outcome))
        return writeError({ ErrorKind::Conflict, "another operator, " + conflict->current_.by_ + ", changed the data centre first", "check its state, then try again", {} });
    while (true) {
        const Result<ServiceStatus> status = control_.status(change.dataCentre_, monotonicNow() + storeTimeout);
        if (!status)
            return writeError(status.error());
        if (status->progress_ != ServiceProgress::Pending || monotonicNow() >= until)
            return writeAnswer(writeServiceStatus(change.dataCentre_, *status));
        std::this_thread::sleep_for(pollInterval);
    }
}

HttpResponse OperatorHandler::routeConfiguration(const HttpRequest& request, const std::vector<std::string>& path)
{
    if (path.size() == 3 && path[2] == "history")
        return history();
    if (path.size() != 2)
        return notFound(request.path_);
    if (request.method_ == "PUT")
        return applyConfiguration(request);
    return showConfiguration();
}

HttpResponse OperatorHandler::showConfiguration()
{
    const Result<ConfigurationProgress> progress = configurations_.progress(dataCentres_, monotonicNow() + storeTimeout);
    if (!progress)
        return writeError(progress.error());
    JsonValue answer = writeProgress(*progress);
    if (progress->head_.version_ == 0)
        return writeAnswer(answer);
    const Result<ConfigurationVersion> version = configurations_.load(progress->head_.version_, monotonicNow() + storeTimeout);
    if (!version)
        return writeError(version.error());
    addMember(answer, "base", parsedOrEmpty(version->base_));
    JsonValue& overlays = answer.addMember("overlays");
    overlays.setCategory(JsonValue::Object);
    for (const auto& [dataCentre, text] : version->overlays_)
        addMember(overlays, dataCentre.value(), parsedOrEmpty(text));
    return writeAnswer(answer);
}

HttpResponse OperatorHandler::applyConfiguration(const HttpRequest& request)
{
    const Result<Duration> wait = parseWaitTime(request, waitLimits);
    if (!wait)
        return writeError(wait.error());
    const Result<JsonValue> body = parseJson(request.body_, "body");
    if (!body)
        return writeError(body.error());
    const ValidationResult<ConfigurationSubmission> submission = parseConfigurationSubmission(*body);
    if (!submission)
        return writeErrors(submission.error());
    const auto deployment = parseDeployment(submission->base_, submission->overlays_, dataCentres_);
    if (!deployment)
        return writeErrors(deployment.error());
    ConfigurationChange change;
    change.basedOn_ = submission->expectedVersion_;
    change.by_ = submission->who_;
    change.base_ = writeJson(submission->base_);
    for (const auto& [dataCentre, overlay] : submission->overlays_)
        change.overlays_[dataCentre] = writeJson(overlay);
    const Result<ConfigurationOutcome> outcome = configurations_.apply(change, wallClockMs(), monotonicNow() + storeTimeout);
    if (!outcome)
        return writeError(outcome.error());
    if (const auto* conflict = std::get_if<ConfigurationConflict>(&*outcome)) {
        HttpResponse response = writeError({ ErrorKind::Conflict, "version " + std::to_string(conflict->current_.version_) + " by " + conflict->current_.by_ + " came first", "compare it with yours, then apply your changes on top of it", {} });
        response.status_ = statusConflict;
        return response;
    }
    const std::uint64_t version = std::get<ConfigurationWritten>(*outcome).version_;
    watcher_.noteVersion(version);
    const Time until = monotonicNow() + *wait;
    while (true) {
        const Result<ConfigurationProgress> progress = configurations_.progress(dataCentres_, monotonicNow() + storeTimeout);
        // The version is stored; if its progress can't be read, report it as not confirmed yet.
        ConfigurationProgress reported = progress ? *progress : ConfigurationProgress {};
        if (!progress) {
            reported.head_.version_ = version;
            for (const DataCentreId& dataCentre : dataCentres_)
                reported.inForce_[dataCentre] = 0;
        }
        const bool isAccepted = progress && progress->isAccepted(version);
        if (isAccepted || monotonicNow() >= until)
            return writeAnswer(writeProgress(reported));
        std::this_thread::sleep_for(pollInterval);
    }
}

HttpResponse OperatorHandler::history()
{
    const Result<std::vector<ConfigurationVersion>> versions = configurations_.history(monotonicNow() + storeTimeout);
    if (!versions)
        return writeError(versions.error());
    JsonValue answer = jsonObject();
    JsonValue& list = answer.addMember("versions");
    list.setCategory(JsonValue::Array);
    for (const ConfigurationVersion& version : *versions) {
        JsonValue& entry = list.addMember();
        entry.setCategory(JsonValue::Object);
        entry.addValue("version", version.head_.version_);
        entry.addValue("by", version.head_.by_);
        entry.addValue("reason", version.reason_);
        entry.addValue("changed_at_ms", version.head_.changedAt_);
    }
    return writeAnswer(answer);
}

HttpResponse OperatorHandler::cut(const HttpRequest& request)
{
    const Result<JsonValue> body = parseJson(request.body_, "body");
    if (!body)
        return writeError(body.error());
    std::vector<InstanceId> instances;
    if (const JsonValue* list = body->findMember("instances")) {
        for (const JsonValue& member : *list) {
            std::string id;
            member.getValue(id);
            instances.emplace_back(id);
        }
    }
    const Result<void> done = hooks_.cut_(instances);
    return done ? writeAnswer(jsonObject()) : writeError(done.error());
}

}
