#include "cli/requestcommand.h"

#include "cli/commandsupport.h"
#include "http/percentencoding.h"

#include <chrono>

namespace fescuecleat {

namespace {

    constexpr int firstErrorStatus = 400;
    /** Subtracted from the deadline in the request, so that the answer arrives before the client's deadline. */
    constexpr std::chrono::milliseconds answerMargin { 200 };

    HttpRequest buildRequest(const CommandArguments& arguments, std::string body, Duration timeLeft)
    {
        HttpRequest request;
        request.method_ = "POST";
        request.path_ = "/v1/services/" + percentEncode(arguments.operands_.front()) + "/requests";
        request.query_["kind"] = arguments.kind_;
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft);
        request.headers_["x-deadline-ms"] = std::to_string((milliseconds > 2 * answerMargin ? milliseconds - answerMargin : milliseconds).count());
        request.headers_["x-idempotent"] = arguments.isNotIdempotent_ ? "false" : "true";
        if (!arguments.idempotencyKey_.empty())
            request.headers_["idempotency-key"] = arguments.idempotencyKey_;
        request.body_ = std::move(body);
        return request;
    }

    ExitCode exitCodeOfOutcome(const HttpResponse& response)
    {
        const auto outcome = response.headers_.find("x-outcome");
        if (outcome != response.headers_.end() && outcome->second == "unknown")
            return ExitCode::OutcomeUnknown;
        if (outcome != response.headers_.end() && outcome->second == "not_run")
            return ExitCode::Unavailable;
        return response.status_ < firstErrorStatus ? ExitCode::Success : exitCodeOf(parseErrorAnswer(response).kind_);
    }

}

ExitCode requestCommand(const CommandArguments& arguments, const CommandContext& context)
{
    if (arguments.operands_.size() != 1 || arguments.kind_.empty())
        return printUsageErrors(arguments, context, { { ErrorKind::MissingMember, "the service or --kind is missing", "write fescuecleat request SERVICE --kind KIND", {} } });
    if (arguments.isNotIdempotent_ && arguments.idempotencyKey_.empty())
        return printUsageErrors(arguments, context, { { ErrorKind::MissingMember, "a request that is not idempotent needs --idempotency-key", "add one that is the same when you send the request again", {} } });
    std::string body = arguments.body_;
    if (!arguments.bodyFile_.empty()) {
        const Result<std::string> file = readFile(arguments.bodyFile_);
        if (!file)
            return printUsageErrors(arguments, context, { file.error() });
        body = *file;
    }
    const Result<ApiClient> client = callerClient(arguments, context);
    if (!client)
        return printUsageErrors(arguments, context, { client.error() });

    const Duration timeLeft = remaining(client->deadline(), monotonicNow());
    const Result<HttpResponse> response = client->send(buildRequest(arguments, std::move(body), timeLeft));
    if (!response)
        return printError(arguments, context, response.error());
    const ExitCode exitCode = exitCodeOfOutcome(*response);
    if (exitCode != ExitCode::Success) {
        printError(arguments, context, parseErrorAnswer(*response));
        return exitCode;
    }
    context.out_ << response->body_;
    if (arguments.output_ == OutputFormat::Text && (response->body_.empty() || response->body_.back() != '\n'))
        context.out_ << '\n';
    return ExitCode::Success;
}

}
