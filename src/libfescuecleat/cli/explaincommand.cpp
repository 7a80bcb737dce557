#include "cli/explaincommand.h"

#include "cli/commandsupport.h"

namespace fescuecleat {

namespace {

    Result<JsonValue> makeQuestion(const CommandArguments& arguments)
    {
        JsonValue question = jsonObject();
        if (!arguments.operands_.empty()) {
            question.addValue("id", arguments.operands_.front());
            return question;
        }
        const Result<std::string> text = readFile(arguments.file_);
        if (!text)
            return tl::make_unexpected(text.error());
        Result<JsonValue> job = parseJson(*text, arguments.file_);
        if (!job)
            return job;
        question.addValue("queue", arguments.queue_);
        question.addValue("organisation", arguments.organisation_);
        addMember(question, "job", std::move(*job));
        return question;
    }

}

ExitCode explainCommand(const CommandArguments& arguments, const CommandContext& context)
{
    const bool hasFile = !arguments.file_.empty() && !arguments.queue_.empty();
    if (arguments.operands_.size() > 1 || arguments.operands_.empty() != hasFile)
        return printUsageErrors(arguments, context, { { ErrorKind::MissingMember, "neither one job nor --file and --queue are given", "write fescuecleat explain JOB, or fescuecleat explain --file FILE --queue QUEUE", {} } });
    const Result<JsonValue> question = makeQuestion(arguments);
    if (!question)
        return printUsageErrors(arguments, context, { question.error() });
    const Result<ApiClient> client = instanceClient(arguments, context);
    if (!client)
        return printUsageErrors(arguments, context, { client.error() });
    return printAnswer(arguments, context, client->sendJson("POST", "/explain", *question));
}

}
