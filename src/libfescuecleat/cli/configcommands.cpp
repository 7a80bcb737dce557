#include "cli/configcommands.h"

#include "api/configurationsubmission.h"
#include "cli/commandsupport.h"
#include "settings/configurationparser.h"
#include "settings/merge.h"
#include "settings/sections.h"
#include "settings/settingsloader.h"
#include "settings/settingsparser.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace fescuecleat {

namespace {

    constexpr const char* configurationPath = "/v1/configuration";
    constexpr const char* applyUsage = "write fescuecleat config apply BASE... DATA_CENTRE=OVERLAY...";

    /** True if the document has an instance id, and so is meant to start a process. */
    bool hasInstanceId(const JsonValue& document)
    {
        const JsonValue* instance = document.findMember("instance");
        return instance && instance->findMember("id");
    }

    std::vector<Error> checkDocument(const JsonValue& document)
    {
        std::vector<Error> errors;
        if (hasInstanceId(document)) {
            const ValidationResult<Settings> settings = parseSettings(document);
            if (!settings)
                errors = settings.error();
        } else {
            errors = checkSettingsSections(document);
        }
        const ValidationResult<Configuration> configuration = parseConfiguration(document);
        if (configuration)
            return errors;
        for (const Error& error : configuration.error()) {
            // Both parsers check the top level and the operators.
            if (std::find(errors.begin(), errors.end(), error) == errors.end())
                errors.push_back(error);
        }
        return errors;
    }

    /** Files of an apply command: base files and the overlays of each data centre. */
    struct ApplyFiles {
        std::vector<std::string> base_;
        std::map<DataCentreId, std::vector<std::string>> overlays_;
    };

    ApplyFiles sortOperands(const std::vector<std::string>& operands)
    {
        ApplyFiles files;
        for (const std::string& operand : operands) {
            const std::size_t equals = operand.find('=');
            if (equals == std::string::npos)
                files.base_.push_back(operand);
            else
                files.overlays_[DataCentreId(operand.substr(0, equals))].push_back(operand.substr(equals + 1));
        }
        return files;
    }

    /** Reads and checks all files; errors name the file and line. */
    ValidationResult<ConfigurationSubmission> loadSubmission(const ApplyFiles& files)
    {
        const ValidationResult<Document> base = loadDocument(files.base_);
        if (!base)
            return tl::make_unexpected(base.error());
        ConfigurationSubmission submission;
        submission.base_ = extractConfiguration(base->merged_);
        std::vector<Error> errors;
        for (const auto& [dataCentre, names] : files.overlays_) {
            const ValidationResult<Document> overlay = loadDocument(names);
            if (!overlay) {
                errors.insert(errors.end(), overlay.error().begin(), overlay.error().end());
                continue;
            }
            Document whole = *base;
            whole.files_.insert(whole.files_.end(), overlay->files_.begin(), overlay->files_.end());
            replace(whole.merged_, merge(base->merged_, overlay->merged_));
            for (Error& error : locateErrors(whole, checkDocument(whole.merged_))) {
                error.location_ = dataCentre.value() + ": " + error.location_;
                errors.push_back(std::move(error));
            }
            submission.overlays_.emplace(dataCentre, extractConfiguration(overlay->merged_));
        }
        if (!errors.empty())
            return tl::make_unexpected(std::move(errors));
        return submission;
    }

    /** Version currently in force. */
    Result<std::uint64_t> currentVersion(const ApiClient& client)
    {
        const Result<JsonValue> answer = client.get(configurationPath);
        if (!answer)
            return tl::make_unexpected(answer.error());
        const std::string text = textMember(*answer, "version");
        std::uint64_t version = 0;
        const auto [rest, status] = std::from_chars(text.data(), text.data() + text.size(), version);
        if (status != std::errc() || *rest != '\0')
            return failure(ErrorKind::Internal, "the response has no version", "give --expected-version");
        return version;
    }

    ExitCode printResource(const CommandArguments& arguments, const CommandContext& context, const std::string& path)
    {
        const Result<ApiClient> client = operatorClient(arguments, context);
        if (!client)
            return printUsageErrors(arguments, context, { client.error() });
        return printAnswer(arguments, context, client->get(path));
    }

}

ExitCode checkConfigCommand(const CommandArguments& arguments, const CommandContext& context)
{
    const ValidationResult<Document> document = loadDocument(arguments.operands_);
    if (!document)
        return printUsageErrors(arguments, context, document.error());
    const std::vector<Error> errors = checkDocument(document->merged_);
    if (!errors.empty())
        return printUsageErrors(arguments, context, locateErrors(*document, errors));
    context.out_ << (arguments.output_ == OutputFormat::Json ? writeJson(document->merged_) : writePrettyJson(document->merged_)) << '\n';
    return ExitCode::Success;
}

ExitCode applyConfigCommand(const CommandArguments& arguments, const CommandContext& context)
{
    const ApplyFiles files = sortOperands(arguments.operands_);
    if (files.base_.empty() || files.overlays_.empty())
        return printUsageErrors(arguments, context, { { ErrorKind::MissingMember, "the base file or the overlays are missing", applyUsage, {} } });
    ValidationResult<ConfigurationSubmission> submission = loadSubmission(files);
    if (!submission)
        return printUsageErrors(arguments, context, submission.error());
    const Result<ApiClient> client = operatorClient(arguments, context);
    if (!client)
        return printUsageErrors(arguments, context, { client.error() });

    submission->who_ = arguments.who_;
    submission->expectedVersion_ = static_cast<std::uint64_t>(std::max(0L, arguments.expectedVersion_));
    if (arguments.expectedVersion_ < 0) {
        const Result<std::uint64_t> version = currentVersion(*client);
        if (!version)
            return printError(arguments, context, version.error());
        submission->expectedVersion_ = *version;
    }
    const Result<JsonValue> answer = client->sendJson("PUT", configurationPath, toJson(*submission));
    const ExitCode exitCode = printAnswer(arguments, context, answer);
    return answer && textMember(*answer, "status") == "pending" ? ExitCode::Pending : exitCode;
}

ExitCode showConfigCommand(const CommandArguments& arguments, const CommandContext& context)
{
    return printResource(arguments, context, configurationPath);
}

ExitCode configHistoryCommand(const CommandArguments& arguments, const CommandContext& context)
{
    return printResource(arguments, context, std::string(configurationPath) + "/history");
}

}
