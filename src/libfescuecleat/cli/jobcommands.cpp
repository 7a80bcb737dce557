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

    /** A waiting call is answered after this time at the latest, so that a silent connection is noticed. */
    constexpr std::chrono::milliseconds longestWait { 10000 };
    /** What a waiting call may take beyond the wait itself. */
    constexpr std::chrono::milliseconds answerTime { 5000 };
    /** With less time left than this a command stops asking. */
    constexpr std::chrono::milliseconds leastWait { 50 };
    constexpr std::chrono::milliseconds pauseAfterFailure { 200 };

    /** A job whose end is awaited, asked for with its owner's key. */
    struct WaitedJob {
        /** Name in a job file; empty if there is none. */
        std::string name_;
        std::string id_;
        ApiClient client_;
    };

    std::string jobPath(const std::string& job) { return "/v1/jobs/" + percentEncode(job); }

    Error missingOperand(const std::string& what)
    {
        return { ErrorKind::MissingMember, what + " is missing", "add it, or see --help", {} };
    }

    /** A key that makes sending the same submission again harmless. */
    std::string newIdempotencyKey() { return "cli-" + createKey().hash_.id_; }

    Checked<JobSpec> specOfOptions(const CommandArguments& arguments)
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
        Result<JsonValue> answer = client.put("POST", "/v1/jobs", toSubmission(spec));
        if (!answer && answer.error().kind_ == ErrorKind::OutcomeUnknown)
            answer.error().remedy_ = "submit it again with --idempotency-key " + spec.idempotencyKey_ + ", it then stays one job";
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
     * The job's newest state, final unless the client's deadline came first.
     * Asking is harmless, so a call that got no answer is made again.
     */
    Result<JsonValue> waitForEnd(const ApiClient& client, const std::string& job)
    {
        HttpRequest request;
        request.path_ = jobPath(job);
        for (;;) {
            const Time now = monotonicNow();
            const Duration left = remaining(client.deadline(), now);
            const auto wait = std::min(longestWait, std::chrono::duration_cast<std::chrono::milliseconds>(left / 2));
            request.query_["wait_ms"] = std::to_string(wait.count());
            Result<JsonValue> answer = client.until(now + wait + answerTime).call(request);
            const bool mayPass = !answer && exitCodeOf(answer.error().kind_) == ExitCode::Unavailable;
            const bool isPending = answer && exitCodeOfState(textMember(*answer, "state")) == ExitCode::Pending;
            if ((!mayPass && !isPending) || left <= leastWait)
                return answer;
            if (mayPass)
                std::this_thread::sleep_for(pauseAfterFailure);
        }
    }

    void addMember(JsonValue& array, const std::string& name, const JsonValue& answer)
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

    /** Waits for jobs, prints all their states and gives the worst exit code. */
    ExitCode waitForAll(const CommandArguments& arguments, const CommandContext& context, const std::vector<WaitedJob>& jobs)
    {
        JsonValue result = jsonObject();
        JsonValue& rows = result.addMember("jobs");
        rows.setCategory(JsonValue::Array);
        ExitCode worst = ExitCode::Success;
        for (const WaitedJob& job : jobs) {
            const Result<JsonValue> answer = waitForEnd(job.client_, job.id_);
            if (!answer) {
                worst = std::max(worst, printError(arguments, context, answer.error()));
                continue;
            }
            addMember(rows, job.name_, *answer);
            worst = std::max(worst, exitCodeOfState(textMember(*answer, "state")));
        }
        printResult(arguments, context, result);
        return worst;
    }

    ExitCode submitOne(const CommandArguments& arguments, const CommandContext& context)
    {
        const Checked<JobSpec> spec = specOfOptions(arguments);
        if (!spec)
            return printBadUse(arguments, context, spec.error());
        const Result<ApiClient> client = callerClient(arguments, context);
        if (!client)
            return printBadUse(arguments, context, { client.error() });
        const Result<JsonValue> answer = submit(*client, *spec);
        if (!answer || !arguments.shallWait_)
            return printAnswer(arguments, context, answer);
        return waitForAll(arguments, context, { { {}, textMember(*answer, "job"), *client } });
    }

    /** A client with the key of the organisation that the file names for the job. */
    Result<ApiClient> clientOf(const JobFileEntry& entry, CommandArguments arguments, const CommandContext& context)
    {
        arguments.owner_ = entry.spec_.organisation_.value();
        return callerClient(arguments, context);
    }

    /** Submits every job of the file, or none if the file or a key is wrong. */
    ExitCode submitFile(const CommandArguments& arguments, const CommandContext& context)
    {
        const Result<std::string> text = readFile(arguments.file_);
        if (!text)
            return printBadUse(arguments, context, { text.error() });
        const Checked<std::vector<JobFileEntry>> entries = parseJobFile(*text, arguments.file_);
        if (!entries)
            return printBadUse(arguments, context, entries.error());
        std::vector<ApiClient> clients;
        for (const JobFileEntry& entry : *entries) {
            const Result<ApiClient> client = clientOf(entry, arguments, context);
            if (!client)
                return printBadUse(arguments, context, { client.error() });
            clients.push_back(*client);
        }

        JsonValue result = jsonObject();
        JsonValue& rows = result.addMember("jobs");
        rows.setCategory(JsonValue::Array);
        std::vector<WaitedJob> submitted;
        ExitCode worst = ExitCode::Success;
        for (std::size_t index = 0; index < entries->size(); ++index) {
            const JobFileEntry& entry = (*entries)[index];
            JobSpec spec = entry.spec_;
            if (spec.idempotencyKey_.empty())
                spec.idempotencyKey_ = newIdempotencyKey();
            const Result<JsonValue> answer = submit(clients[index], spec);
            if (!answer) {
                worst = std::max(worst, printError(arguments, context, answer.error()));
                continue;
            }
            addMember(rows, entry.name_, *answer);
            submitted.push_back({ entry.name_, textMember(*answer, "job"), clients[index] });
        }
        if (!arguments.shallWait_) {
            printResult(arguments, context, result);
            return worst;
        }
        return std::max(worst, waitForAll(arguments, context, submitted));
    }

    ExitCode callForJob(const CommandArguments& arguments, const CommandContext& context, const std::string& method, const std::string& suffix)
    {
        if (arguments.operands_.size() != 1)
            return printBadUse(arguments, context, { missingOperand("the id of one job") });
        const Result<ApiClient> client = callerClient(arguments, context);
        if (!client)
            return printBadUse(arguments, context, { client.error() });
        const std::string path = jobPath(arguments.operands_.front()) + suffix;
        return printAnswer(arguments, context, method == "GET" ? client->get(path) : client->put(method, path, jsonObject()));
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
        return printBadUse(arguments, context, { missingOperand("the id of a job") });
    const Result<ApiClient> client = callerClient(arguments, context);
    if (!client)
        return printBadUse(arguments, context, { client.error() });
    std::vector<WaitedJob> jobs;
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
        return printBadUse(arguments, context, { client.error() });
    return printAnswer(arguments, context, client->get("/v1/jobs"));
}

ExitCode whyCommand(const CommandArguments& arguments, const CommandContext& context)
{
    return callForJob(arguments, context, "GET", "/why");
}

}
