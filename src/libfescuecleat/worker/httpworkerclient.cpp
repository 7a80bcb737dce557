#include "worker/httpworkerclient.h"

#include "http/httpclient.h"
#include "json/objectreader.h"

#include <limits>

namespace fescuecleat {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;
    const char* const staleEpoch = "stale_epoch";

    JsonValue commandBody(std::uint64_t epoch)
    {
        JsonValue body = jsonObject();
        body.addValue("epoch", epoch);
        return body;
    }

    JsonValue taskCommand(std::uint64_t epoch, const TaskKey& task)
    {
        JsonValue body = commandBody(epoch);
        addMember(body, "task", writeTaskKey(task));
        return body;
    }

    HttpRequest postRequest(const std::string& path, const JsonValue& body)
    {
        HttpRequest request;
        request.method_ = "POST";
        request.path_ = path;
        request.headers_["content-type"] = "application/json";
        request.body_ = writeJson(body);
        return request;
    }

    /** Parses an answer with status 409; one that can't be parsed still counts as a refusal. */
    WorkerAnswer refusal(const HttpResponse& response)
    {
        const Result<JsonValue> body = parseJson(response.body_);
        if (!body)
            return WorkerRefused { "refused", "worker refused the command with status " + std::to_string(response.status_) };
        std::vector<Error> errors;
        ObjectReader reader(*body, "refusal", errors);
        const std::string kind = reader.stringOr("kind", "refused");
        if (kind == staleEpoch)
            return WorkerFenced { static_cast<std::uint64_t>(reader.integerOr("epoch", 0, 0, std::numeric_limits<std::int64_t>::max())) };
        return WorkerRefused { kind, reader.stringOr("message", "worker refused the command without a message") };
    }

}

Result<WorkerReport> HttpWorkerClient::renew(const Address& address, std::uint64_t epoch, std::int64_t untilMicros, const std::vector<TaskKey>& forget, Time deadline)
{
    JsonValue body = commandBody(epoch);
    body.addValue("until_us", untilMicros);
    JsonValue& tasks = body.addMember("forget");
    tasks.setCategory(JsonValue::Array);
    for (const TaskKey& task : forget)
        addMember(tasks, {}, writeTaskKey(task));

    const auto answer = client_.send(address, postRequest("/v1/lease", body), deadline, true);
    if (!answer)
        return failure(ErrorKind::Unavailable, "worker did not answer the renewal: " + answer.error().message_, "check that the worker is running and reachable");
    if (answer->status_ == statusConflict)
        return failure(ErrorKind::Conflict, "the worker has accepted a higher scheduler epoch", "stop renewing: a newer scheduler manages the worker");
    if (answer->status_ != statusOk)
        return failure(ErrorKind::Unavailable, "worker answered the renewal with status " + std::to_string(answer->status_), "check the log of the worker");
    const Result<JsonValue> report = parseJson(answer->body_);
    if (!report)
        return tl::unexpected<Error>(report.error());
    return parseWorkerReport(*report);
}

WorkerAnswer HttpWorkerClient::prepare(const Address& address, std::uint64_t epoch, const PreparedTask& prepared, Time deadline)
{
    JsonValue body = taskCommand(epoch, prepared.task_);
    JsonValue& accelerators = body.addMember("accelerators");
    accelerators.setCategory(JsonValue::Array);
    for (const int position : prepared.accelerators_)
        accelerators.addMember().setValue(position);
    const JobSpec& spec = prepared.spec_;
    body.addValue("processor_millis", spec.shape_.processorMillis_);
    body.addValue("memory_bytes", spec.shape_.memoryBytes_);
    body.addValue("run_time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(spec.declaredRunTime_).count());
    body.addValue("organisation", spec.organisation_.value());
    body.addValue("payload", spec.payload_);
    return command(address, "/v1/prepare", body, deadline);
}

WorkerAnswer HttpWorkerClient::start(const Address& address, std::uint64_t epoch, const TaskKey& task, std::int64_t startBeforeMicros, Time deadline)
{
    JsonValue body = taskCommand(epoch, task);
    body.addValue("start_before_us", startBeforeMicros);
    return command(address, "/v1/start", body, deadline);
}

WorkerAnswer HttpWorkerClient::checkpoint(const Address& address, std::uint64_t epoch, const TaskKey& task, std::int64_t deadlineMicros, Time deadline)
{
    JsonValue body = taskCommand(epoch, task);
    body.addValue("deadline_us", deadlineMicros);
    return command(address, "/v1/checkpoint", body, deadline);
}

WorkerAnswer HttpWorkerClient::stop(const Address& address, std::uint64_t epoch, const TaskKey& task, Time deadline)
{
    return command(address, "/v1/stop", taskCommand(epoch, task), deadline);
}

WorkerAnswer HttpWorkerClient::throttle(const Address& address, std::uint64_t epoch, const TaskKey& task, Time deadline)
{
    return command(address, "/v1/throttle", taskCommand(epoch, task), deadline);
}

WorkerAnswer HttpWorkerClient::command(const Address& address, const std::string& path, const JsonValue& body, Time deadline)
{
    const auto answer = client_.send(address, postRequest(path, body), deadline, true);
    if (!answer) {
        if (answer.error().failure_ == TransportFailure::NotSent)
            return WorkerNotReached { answer.error().message_ };
        return WorkerOutcomeUnknown { answer.error().message_ };
    }
    if (answer->status_ >= statusOk && answer->status_ < 300)
        return WorkerDone {};
    if (answer->status_ == statusConflict)
        return refusal(*answer);
    return WorkerOutcomeUnknown { "worker answered with status " + std::to_string(answer->status_) };
}

}
