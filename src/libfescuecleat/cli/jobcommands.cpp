#include "cli/jobcommands.h"

#include "api/jobsubmission.h"
#include "auth/keyhash.h"
#include "cli/commandsupport.h"
#include "cli/jobfile.h"
#include "http/percentencoding.h"
#include "settings/duration.h"

#include <algorithm>
#include <thread>

namespace fescuecleat {

namespace {

    /** Maximum duration of one long poll, so that a dead connection is detected. */
    constexpr std::chrono::milliseconds maxLongPollTime { 10000 };
    /** Time allowed for a long poll beyond its wait. */
    constexpr std::chrono::milliseconds longPollMargin { 5000 };
    /** Polling ends when less time than this is left. */
    constexpr std::chrono::milliseconds minTimeLeft { 50 };
    constexpr std::chrono::milliseconds retryDelay { 200 };

    /** A job to wait for, with a client that uses its owner's key. */
    struct AwaitedJob {
        /** Name from the job file, otherwise empty. */
        std::string name_;
        std::string id_;
        ApiClient client_;
    };

    std::string jobPath(const std::string& job) { return "/v1/jobs/" + percentEncode(job); }

    Error missingOperandError(const std::string& what)
    {
        return { ErrorKind::MissingMember, what + " is missing", "add it, or see --help", {} };
    }

    /** Creates a key that makes it safe to repeat a submission. */
    std::string newIdempotencyKey() { return "cli-" + createKey().hash_.id_; }

    ValidationResult<JobSpec> jobSpecFromOptions(const CommandArguments& arguments)
    {
        const Result<Duration> runTime = parseDuration(arguments.runTime_);
        if (!runTime)
            return tl::make_unexpected(std::vector<Error> { runTime.error() });
        JsonValue body = jsonObject();
        body.addValue("tasks", arguments.tasks_);
        body.addValue("accelerators", arguments.accelerators_);
        body.addValue("processor_millis", arguments.processorMillis_);
        body.addValue("memory_bytes", arguments.memoryBytes_);
        body.addValue("run_time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(*runTime).count());
        body.addValue("adjacency", arguments.adjacency_);
        body.addValue("urgent", arguments.isUrgent_);
        body.addValue("idempotent", !arguments.isNotIdempotent_);
        body.addValue("can_checkpoint", !arguments.isNotCheckpointable_);
        body.addValue("idempotency_key", arguments.idempotencyKey_.empty() ? newIdempotencyKey() : arguments.idempotencyKey_);
        if (!arguments.payload_.empty())
            body.addValue("payload", arguments.payload_);
        return parseJobSubmission(body, {});
    }

    Result<JsonValue> submit(const ApiClient& client, const JobSpec& spec)
    {
        Result<JsonValue> answer = client.sendJson("POST", "/v1/jobs", writeJobSubmission(spec));
        if (!answer && answer.error().kind_ == ErrorKind::OutcomeUnknown)
            answer.error().remedy_ = "submit it again with --idempotency-key " + spec.idempotencyKey_ + "; the job is then not created twice";
        return answer;
    }

    ExitCode exitCodeOfState(const std::string& state)
    {
        if (state == "finished")
            return ExitCode::Success;
        if (state == "failed" || state == "cancelled")
            return ExitCode::JobFailed;
        if (state == "unknown")
            return ExitCode::OutcomeUnknown;
        return ExitCode::Pending;
    }

    /**
     * Polls until the job has ended or the client's deadline is near, and
     * returns its last state. Polling is idempotent, so temporary failures are retried.
     */
    Result<JsonValue> waitForEnd(const ApiClient& client, const std::string& job)
    {
        HttpRequest request;
        request.path_ = jobPath(job);
        for (;;) {
            const Time now = monotonicNow();
            const Duration timeLeft = remaining(client.deadline(), now);
            const auto longPollTime = std::min(maxLongPollTime, std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft / 2));
            request.query_["wait_ms"] = std::to_string(longPollTime.count());
            Result<JsonValue> answer = client.withDeadline(now + longPollTime + longPollMargin).call(request);
            const bool isTransient = !answer && exitCodeOf(answer.error().kind_) == ExitCode::Unavailable;
            const bool isPending = answer && exitCodeOfState(textMember(*answer, "state")) == ExitCode::Pending;
            if ((!isTransient && !isPending) || timeLeft <= minTimeLeft)
                return answer;
            if (isTransient)
                std::this_thread::sleep_for(retryDelay);
        }
    }

    void addRow(JsonValue& array, const std::string& name, const JsonValue& answer)
    {
        JsonValue& row = array.addMember();
        row.setCategory(JsonValue::Object);
        if (!name.empty())
            row.addValue("name", name);
        for (const JsonValue& member : answer) {
            JsonValue& copy = row.addMember(member.name());
            copy = member;
            copy.setName(member.name());
        }
    }

    /** Waits for jobs, prints their states and returns the worst exit code. */
    ExitCode waitForAll(const CommandArguments& arguments, const CommandContext& context, const std::vector<AwaitedJob>& jobs)
    {
        JsonValue result = jsonObject();
        JsonValue& rows = result.addMember("jobs");
        rows.setCategory(JsonValue::Array);
        ExitCode worstExitCode = ExitCode::Success;
        for (const AwaitedJob& job : jobs) {
            const Result<JsonValue> answer = waitForEnd(job.client_, job.id_);
            if (!answer) {
                worstExitCode = std::max(worstExitCode, printError(arguments, context, answer.error()));
                continue;
            }
            addRow(rows, job.name_, *answer);
            worstExitCode = std::max(worstExitCode, exitCodeOfState(textMember(*answer, "state")));
        }
        printResult(arguments, context, result);
        return worstExitCode;
    }

    ExitCode submitOne(const CommandArguments& arguments, const CommandContext& context)
    {
        const ValidationResult<JobSpec> spec = jobSpecFromOptions(arguments);
        if (!spec)
            return printUsageErrors(arguments, context, spec.error());
        const Result<ApiClient> client = callerClient(arguments, context);
        if (!client)
            return printUsageErrors(arguments, context, { client.error() });
        const Result<JsonValue> answer = submit(*client, *spec);
        if (!answer || !arguments.waitsForEnd_)
            return printAnswer(arguments, context, answer);
        return waitForAll(arguments, context, { { {}, textMember(*answer, "job"), *client } });
    }

    /** Creates a client with the key of the job's organisation. */
    Result<ApiClient> clientFor(const JobFileEntry& entry, CommandArguments arguments, const CommandContext& context)
    {
        arguments.owner_ = entry.spec_.organisation_.value();
        return callerClient(arguments, context);
    }

    /** Submits all jobs of the file, or none if the file or a key is invalid. */
    ExitCode submitFile(const CommandArguments& arguments, const CommandContext& context)
    {
        const Result<std::string> text = readFile(arguments.file_);
        if (!text)
            return printUsageErrors(arguments, context, { text.error() });
        const ValidationResult<std::vector<JobFileEntry>> entries = parseJobFile(*text, arguments.file_);
        if (!entries)
            return printUsageErrors(arguments, context, entries.error());
        std::vector<ApiClient> clients;
        for (const JobFileEntry& entry : *entries) {
            const Result<ApiClient> client = clientFor(entry, arguments, context);
            if (!client)
                return printUsageErrors(arguments, context, { client.error() });
            clients.push_back(*client);
        }

        JsonValue result = jsonObject();
        JsonValue& rows = result.addMember("jobs");
        rows.setCategory(JsonValue::Array);
        std::vector<AwaitedJob> submitted;
        ExitCode worstExitCode = ExitCode::Success;
        for (std::size_t index = 0; index < entries->size(); ++index) {
            const JobFileEntry& entry = (*entries)[index];
            JobSpec spec = entry.spec_;
            if (spec.idempotencyKey_.empty())
                spec.idempotencyKey_ = newIdempotencyKey();
            const Result<JsonValue> answer = submit(clients[index], spec);
            if (!answer) {
                worstExitCode = std::max(worstExitCode, printError(arguments, context, answer.error()));
                continue;
            }
            addRow(rows, entry.name_, *answer);
            submitted.push_back({ entry.name_, textMember(*answer, "job"), clients[index] });
        }
        if (!arguments.waitsForEnd_) {
            printResult(arguments, context, result);
            return worstExitCode;
        }
        return std::max(worstExitCode, waitForAll(arguments, context, submitted));
    }

    ExitCode callForJob(const CommandArguments& arguments, const CommandContext& context, const std::string& method, const std::string& suffix)
    {
        if (arguments.operands_.size() != 1)
            return printUsageErrors(arguments, context, { missingOperandError("the id of one job") });
        const Result<ApiClient> client = callerClient(arguments, context);
        if (!client)
            return printUsageErrors(arguments, context, { client.error() });
        const std::string path = jobPath(arguments.operands_.front()) + suffix;
        return printAnswer(arguments, context, method == "GET" ? client->get(path) : client->sendJson(method, path, jsonObject()));
    }

}

ExitCode submitCommand(const CommandArguments& arguments, const CommandContext& context)
{
    return arguments.file_.empty() ? submitOne(arguments, context) : submitFile(arguments, context);
}

ExitCode statusCommand(const CommandArguments& arguments, const CommandContext& context)
{
    return callForJob(arguments, context, "GET", "");
}

ExitCode waitCommand(const CommandArguments& arguments, const CommandContext& context)
{
    if (arguments.operands_.empty())
        return printUsageErrors(arguments, context, { missingOperandError("the id of a job") });
    const Result<ApiClient> client = callerClient(arguments, context);
    if (!client)
        return printUsageErrors(arguments, context, { client.error() });
    std::vector<AwaitedJob> jobs;
    for (const std::string& id : arguments.operands_)
        jobs.push_back({ {}, id, *client });
    return waitForAll(arguments, context, jobs);
}

ExitCode cancelCommand(const CommandArguments& arguments, const CommandContext& context)
{
    return callForJob(arguments, context, "POST", "/cancel");
}

ExitCode jobsCommand(const CommandArguments& arguments, const CommandContext& context)
{
    const Result<ApiClient> client = callerClient(arguments, context);
    if (!client)
        return printUsageErrors(arguments, context, { client.error() });
    return printAnswer(arguments, context, client->get("/v1/jobs"));
}

ExitCode whyCommand(const CommandArguments& arguments, const CommandContext& context)
{
    return callForJob(arguments, context, "GET", "/why");
}

}
