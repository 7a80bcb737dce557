#include "optionparser.h"

#include "cli/textoutput.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <popt.h>

namespace fescuecleat {

namespace {

    constexpr const char* exitCodeText = "Exit codes: 0 done; 1 bad use, nothing was sent; 2 refused; 3 not reachable or overloaded, nothing was done;\n"
                                         "  4 outcome unknown; 5 a job ended without success; 6 accepted, not done when --timeout was up\n";

    /** Receives the values parsed by popt, which allocates texts as C strings. */
    struct OptionValues {
        CommandArguments arguments_;
        std::vector<std::pair<char*, std::string*>> texts_;
        char* output_ = nullptr;
        int isUrgent_ = 0;
        int isNotIdempotent_ = 0;
        int isNotCheckpointable_ = 0;
        int waitsForEnd_ = 0;
        int isPeerKey_ = 0;
        int wantsHelp_ = 0;
    };

    /** A popt option and, for a text option, the string that receives its value. */
    struct OptionDescription {
        poptOption option_;
        std::string* text_ = nullptr;
    };

    OptionDescription textOption(const char* name, std::string& text, const char* help, const char* argument)
    {
        return { { name, '\0', POPT_ARG_STRING, nullptr, 0, help, argument }, &text };
    }

    OptionDescription flagOption(const char* name, int& flag, const char* help)
    {
        return { { name, '\0', POPT_ARG_NONE, &flag, 0, help, nullptr } };
    }

    OptionDescription intOption(const char* name, int& value, const char* help)
    {
        return { { name, '\0', POPT_ARG_INT, &value, 0, help, "N" } };
    }

    OptionDescription longOption(const char* name, long& value, const char* help)
    {
        return { { name, '\0', POPT_ARG_LONG, &value, 0, help, "N" } };
    }

    std::vector<OptionDescription> allOptions(OptionValues& values)
    {
        CommandArguments& arguments = values.arguments_;
        return {
            textOption("caller", arguments.callerAddress_, "callers' address of a daemon [127.0.0.1:7100]", "IP:PORT"),
            textOption("operator", arguments.operatorAddress_, "operators' address of a daemon [127.0.0.1:7101]", "IP:PORT"),
            textOption("key-file", arguments.keyFile_, "file with lines OWNER KEY [key from FESCUECLEAT_KEY]", "FILE"),
            textOption("as", arguments.owner_, "owner whose key in --key-file is used", "OWNER"),
            textOption("timeout", arguments.timeout_, "timeout of the command [30s]", "TIME"),
            textOption("file", arguments.file_, "jobs to submit, with the keys of --key-file, or the job to explain", "FILE"),
            intOption("tasks", arguments.tasks_, "tasks of the gang [1]"),
            intOption("accelerators", arguments.accelerators_, "accelerators of each task [1]"),
            longOption("processor-millis", arguments.processorMillis_, "thousandths of a core for each task [1000]"),
            longOption("memory-bytes", arguments.memoryBytes_, "memory of each task [0]"),
            textOption("run-time", arguments.runTime_, "declared run time [1h]", "TIME"),
            textOption("adjacency", arguments.adjacency_, "any, same_rack or same_worker [any]", "HOW"),
            flagOption("urgent", values.isUrgent_, "place the job ahead of jobs that aren't urgent"),
            flagOption("not-idempotent", values.isNotIdempotent_, "run it at most once"),
            flagOption("no-checkpoint", values.isNotCheckpointable_, "the job can't be checkpointed"),
            textOption("idempotency-key", arguments.idempotencyKey_, "submissions with the same key count as one", "KEY"),
            textOption("payload", arguments.payload_, "passed to the worker unchanged", "TEXT"),
            flagOption("wait", values.waitsForEnd_, "wait until the jobs have ended"),
            textOption("instance", arguments.instanceAddress_, "peers' address of a pool daemon [127.0.0.1:7000]", "IP:PORT"),
            textOption("queue", arguments.queue_, "queue that the job would be submitted to", "QUEUE"),
            textOption("organisation", arguments.organisation_, "organisation that would submit it", "NAME"),
            textOption("kind", arguments.kind_, "kind of the request", "KIND"),
            textOption("body", arguments.body_, "body of the request", "TEXT"),
            textOption("body-file", arguments.bodyFile_, "file with the body of the request", "FILE"),
            textOption("drain-time", arguments.drainTime_, "time that running work has to end [60s]", "TIME"),
            longOption("expected-version", arguments.expectedVersion_, "version that the change is based on [the version in force]"),
            textOption("who", arguments.who_, "name for the history [$USER]", "NAME"),
            textOption("overlay", arguments.overlayFile_, "write the hashes to this settings overlay", "FILE"),
            flagOption("peer", values.isPeerKey_, "create a CURVE key pair for daemons"),
        };
    }

    bool acceptsOption(const Command& command, const char* option)
    {
        return std::find(command.options_.begin(), command.options_.end(), option) != command.options_.end();
    }

    /** Builds the popt table of a command; text options write into `values.texts_`. */
    std::vector<poptOption> buildOptionTable(const Command& command, OptionValues& values)
    {
        std::vector<poptOption> table;
        const std::vector<OptionDescription> all = allOptions(values);
        // The table holds pointers into this vector, so it must not reallocate.
        values.texts_.reserve(all.size());
        for (const OptionDescription& description : all) {
            poptOption option = description.option_;
            if (!acceptsOption(command, option.longName))
                continue;
            if (description.text_) {
                values.texts_.emplace_back(nullptr, description.text_);
                option.arg = &values.texts_.back().first;
            }
            table.push_back(option);
        }
        table.push_back({ "output", '\0', POPT_ARG_STRING, &values.output_, 0, "text or json [text]", "FORMAT" });
        table.push_back({ "help", '?', POPT_ARG_NONE, &values.wantsHelp_, 0, "show this help", nullptr });
        table.push_back({ nullptr, '\0', 0, nullptr, 0, nullptr, nullptr });
        return table;
    }

    void readEnvironment(const char* name, std::string& value)
    {
        const char* const text = std::getenv(name);
        if (text && *text)
            value = text;
    }

    void storeTexts(OptionValues& values)
    {
        for (auto& [text, target] : values.texts_) {
            if (text)
                *target = text;
            std::free(text);
        }
        values.texts_.clear();
    }

    tl::unexpected<Error> usageError(const Command& command, const std::string& message)
    {
        return failure(ErrorKind::InvalidSyntax, message, "see fescuecleat " + command.name_ + " --help");
    }

}

Result<ParsedOptions> parseOptions(const Command& command, const std::vector<std::string>& words)
{
    OptionValues values;
    CommandArguments& arguments = values.arguments_;
    readEnvironment("FESCUECLEAT_CALLER", arguments.callerAddress_);
    readEnvironment("FESCUECLEAT_OPERATOR", arguments.operatorAddress_);
    readEnvironment("FESCUECLEAT_KEY", arguments.key_);
    arguments.who_ = "operator";
    readEnvironment("USER", arguments.who_);

    std::vector<const char*> argv { "fescuecleat" };
    for (const std::string& word : words)
        argv.push_back(word.c_str());
    argv.push_back(nullptr);
    const std::vector<poptOption> table = buildOptionTable(command, values);
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(poptGetContext("fescuecleat", static_cast<int>(argv.size()) - 1, argv.data(), table.data(), 0), poptFreeContext);
    const int status = poptGetNextOpt(context.get());
    storeTexts(values);
    const std::string output = values.output_ ? values.output_ : "text";
    std::free(values.output_);
    if (status < -1)
        return usageError(command, std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(status));
    if (output != "text" && output != "json")
        return usageError(command, "--output is neither text nor json");

    arguments.output_ = output == "json" ? OutputFormat::Json : OutputFormat::Text;
    arguments.isUrgent_ = values.isUrgent_ != 0;
    arguments.isNotIdempotent_ = values.isNotIdempotent_ != 0;
    arguments.isNotCheckpointable_ = values.isNotCheckpointable_ != 0;
    arguments.waitsForEnd_ = values.waitsForEnd_ != 0;
    arguments.isPeerKey_ = values.isPeerKey_ != 0;
    while (const char* operand = poptGetArg(context.get()))
        arguments.operands_.emplace_back(operand);
    if (command.operands_.empty() && !arguments.operands_.empty() && !values.wantsHelp_)
        return usageError(command, "\"" + arguments.operands_.front() + "\" is not expected");
    return ParsedOptions { std::move(arguments), values.wantsHelp_ != 0 };
}

std::string helpText(const Command& command)
{
    OptionValues values;
    std::string text = "Usage: fescuecleat " + command.name_ + (command.operands_.empty() ? "" : " " + command.operands_) + " [OPTION...]\n"
        + command.summary_ + "\n\nOptions:\n";
    std::vector<std::vector<std::string>> rows;
    for (const poptOption& option : buildOptionTable(command, values)) {
        if (option.longName)
            rows.push_back({ "  --" + std::string(option.longName) + (option.argDescrip ? " " + std::string(option.argDescrip) : ""), option.descrip });
    }
    const std::string options = formatTable({ "", "" }, rows);
    text += options.substr(options.find('\n') + 1);
    text += "\nExamples:\n";
    for (const std::string& example : command.examples_)
        text += "  " + example + "\n";
    return text + "\n" + exitCodeText;
}

std::string overviewText()
{
    std::string text = "Usage: fescuecleat COMMAND [OPTION...]\n\n";
    std::vector<std::vector<std::string>> rows;
    for (const Command& command : commands())
        rows.push_back({ "  " + command.name_ + (command.operands_.empty() ? "" : " " + command.operands_), command.summary_ });
    const std::string table = formatTable({ "", "" }, rows);
    return text + table.substr(table.find('\n') + 1) + "\nfescuecleat COMMAND --help shows options and examples.\n" + exitCodeText;
}

}
