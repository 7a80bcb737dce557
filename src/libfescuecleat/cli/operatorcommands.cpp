#include "cli/operatorcommands.h"

#include "cli/commandsupport.h"
#include "http/percentencoding.h"
#include "settings/duration.h"

#include <thread>

namespace fescuecleat {

namespace {

    /** Interval at which a pending change is polled. */
    constexpr std::chrono::milliseconds pollInterval { 500 };

    Result<JsonValue> callUntilDone(const ApiClient& client, const std::string& path, JsonValue body, Time drainDeadline)
    {
        for (;;) {
            const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(remaining(drainDeadline, monotonicNow()));
            if (body.findMember("deadline_ms"))
                body.getMember("deadline_ms").setValue(timeLeft.count());
            Result<JsonValue> answer = client.sendJson("POST", path, body);
            const bool isPending = answer && textMember(*answer, "status") == "pending";
            if (!isPending || remaining(client.deadline(), monotonicNow()) <= pollInterval)
                return answer;
            std::this_thread::sleep_for(pollInterval);
        }
    }

    ExitCode changeDataCentre(const CommandArguments& arguments, const CommandContext& context, const std::string& change, const JsonValue& body, Time drainDeadline)
    {
        if (arguments.operands_.size() != 1)
            return printUsageErrors(arguments, context, { { ErrorKind::MissingMember, "the data centre is missing", "write fescuecleat data-centre " + change + " NAME", {} } });
        const Result<ApiClient> client = operatorClient(arguments, context);
        if (!client)
            return printUsageErrors(arguments, context, { client.error() });
        const std::string path = "/v1/data-centres/" + percentEncode(arguments.operands_.front()) + "/" + change;
        const Result<JsonValue> answer = callUntilDone(*client, path, body, drainDeadline);
        const ExitCode exitCode = printAnswer(arguments, context, answer);
        const bool isPending = answer && textMember(*answer, "status") == "pending";
        return isPending ? ExitCode::Pending : exitCode;
    }

    ExitCode printResource(const CommandArguments& arguments, const CommandContext& context, const std::string& path)
    {
        const Result<ApiClient> client = operatorClient(arguments, context);
        if (!client)
            return printUsageErrors(arguments, context, { client.error() });
        return printAnswer(arguments, context, client->get(path));
    }

}

ExitCode listDataCentresCommand(const CommandArguments& arguments, const CommandContext& context)
{
    return printResource(arguments, context, "/v1/data-centres");
}

ExitCode takeDataCentreOutCommand(const CommandArguments& arguments, const CommandContext& context)
{
    const Result<Duration> drainTime = parseDuration(arguments.drainTime_);
    if (!drainTime)
        return printUsageErrors(arguments, context, { drainTime.error() });
    JsonValue body = jsonObject();
    body.addValue("deadline_ms", 0);
    return changeDataCentre(arguments, context, "out", body, monotonicNow() + *drainTime);
}

ExitCode returnDataCentreCommand(const CommandArguments& arguments, const CommandContext& context)
{
    return changeDataCentre(arguments, context, "return", jsonObject(), {});
}

ExitCode stateCommand(const CommandArguments& arguments, const CommandContext& context)
{
    const Result<ApiClient> client = operatorClient(arguments, context);
    if (!client)
        return printUsageErrors(arguments, context, { client.error() });
    const Result<JsonValue> answer = client->get("/v1/state");
    if (!answer)
        return printError(arguments, context, answer.error());
    context.out_ << (arguments.output_ == OutputFormat::Json ? writeJson(*answer) : writePrettyJson(*answer)) << '\n';
    return ExitCode::Success;
}

}
