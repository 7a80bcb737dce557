#include "cli/commandsupport.h"

#include "api/errorresponse.h"
#include "cli/textoutput.h"
#include "settings/duration.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace fescuecleat {

namespace {

    Result<std::string> resolveKey(const CommandArguments& arguments)
    {
        if (arguments.keyFile_.empty())
            return arguments.key_;
        return keyOfOwner(arguments.keyFile_, arguments.owner_);
    }

    Result<ApiClient> makeClient(const CommandArguments& arguments, const CommandContext& context, const std::string& addressText, HttpHeaders headers)
    {
        const Result<Address> address = parseAddress(addressText);
        if (!address)
            return tl::make_unexpected(address.error());
        const Result<Duration> timeout = parseDuration(arguments.timeout_);
        if (!timeout)
            return tl::make_unexpected(timeout.error());
        const Result<std::string> key = resolveKey(arguments);
        if (!key)
            return tl::make_unexpected(key.error());
        if (!key->empty())
            headers["authorization"] = "Bearer " + *key;
        return ApiClient(context.client_, *address, std::move(headers), monotonicNow() + *timeout);
    }

}

Result<std::string> keyOfOwner(const std::string& file, const std::string& owner)
{
    const Result<std::string> text = readFile(file);
    if (!text)
        return tl::make_unexpected(text.error());
    std::istringstream lines(*text);
    std::string name;
    std::string key;
    while (lines >> name >> key) {
        if (name == owner)
            return key;
    }
    return failure(ErrorKind::NotFound, "no line for \"" + owner + "\"", "name an owner from the file with --as", file);
}

Result<ApiClient> callerClient(const CommandArguments& arguments, const CommandContext& context)
{
    return makeClient(arguments, context, arguments.callerAddress_, {});
}

Result<ApiClient> operatorClient(const CommandArguments& arguments, const CommandContext& context)
{
    return makeClient(arguments, context, arguments.operatorAddress_, { { "x-operator", arguments.who_ } });
}

Result<ApiClient> instanceClient(const CommandArguments& arguments, const CommandContext& context)
{
    return makeClient(arguments, context, arguments.instanceAddress_, {});
}

Result<std::string> readFile(const std::string& name)
{
    std::ifstream in(name, std::ios::binary);
    std::ostringstream text;
    if (in && in.peek() != std::ifstream::traits_type::eof())
        text << in.rdbuf();
    if (!in || in.bad())
        return failure(ErrorKind::NotFound, "file can't be read or is empty", "check its name and that this user may read it", name);
    return text.str();
}

void printResult(const CommandArguments& arguments, const CommandContext& context, const JsonValue& value)
{
    if (arguments.output_ == OutputFormat::Json)
        context.out_ << writeJson(value) << '\n';
    else
        context.out_ << formatAnswer(value);
}

ExitCode printError(const CommandArguments& arguments, const CommandContext& context, const Error& error)
{
    if (arguments.output_ == OutputFormat::Json)
        context.out_ << writeJson(toJson(error)) << '\n';
    else
        context.err_ << "fescuecleat: " << describe(error) << '\n';
    return exitCodeOf(error.kind_);
}

ExitCode printUsageErrors(const CommandArguments& arguments, const CommandContext& context, const std::vector<Error>& errors)
{
    for (const Error& error : errors)
        printError(arguments, context, error);
    return ExitCode::UsageError;
}

ExitCode printAnswer(const CommandArguments& arguments, const CommandContext& context, const Result<JsonValue>& answer)
{
    if (!answer)
        return printError(arguments, context, answer.error());
    printResult(arguments, context, *answer);
    return ExitCode::Success;
}

std::string textMember(const JsonValue& value, const std::string& name)
{
    const JsonValue* member = value.category() == JsonValue::Object ? value.findMember(name) : nullptr;
    std::string text;
    if (member && member->category() == JsonValue::Value && !member->isNull())
        member->getValue(text);
    return text;
}

}
