#include "http/cxxtoolshttpclient.h"
#include "load/comparison.h"
#include "load/configurationchange.h"
#include "load/htmlreport.h"
#include "json/json.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <popt.h>
#include <sstream>
#include <string>
#include <vector>

using namespace fescuecleat;

namespace {

/** Violations were found, or a compared measure got worse. */
constexpr int exitViolations = 1;
constexpr int exitUsageError = 2;
constexpr int exitRunFailed = 3;

/** Options and arguments of the command line. */
struct Options {
    const char* testbed_ = "testbed.json";
    char* mix_ = nullptr;
    char* result_ = nullptr;
    char* report_ = nullptr;
    int repeats_ = 0;
    long seed_ = -1;
    std::vector<std::string> arguments_;
};

/** Thrown for an invalid command line or file. */
struct InputError {
    std::string message_;
};

Options parse(int argc, const char** argv)
{
    Options options;
    const poptOption table[] = {
        { "testbed", 't', POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &options.testbed_, 0, "Testbed file written by scripts/testbed", "FILE" },
        { "mix", 'm', POPT_ARG_STRING, &options.mix_, 0, "Workload mix of the deployment", "FILE" },
        { "result", 'o', POPT_ARG_STRING, &options.result_, 0, "Write the result as JSON", "FILE" },
        { "report", 'r', POPT_ARG_STRING, &options.report_, 0, "Write an HTML page with plots", "FILE" },
        { "repeats", 0, POPT_ARG_INT, &options.repeats_, 0, "Number of repeats, overriding the experiment's", "N" },
        { "seed", 0, POPT_ARG_LONG, &options.seed_, 0, "Seed of the first repeat, overriding the experiment's", "N" },
        POPT_AUTOHELP
            POPT_TABLEEND
    };
    poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    poptSetOtherOptionHelp(context, "run EXPERIMENT | check EXPERIMENT | compare BEFORE AFTER | report RESULT\n\nRuns experiments against daemons and stand-ins started by scripts/testbed, audits and measures them.");
    const int result = poptGetNextOpt(context);
    if (result < -1)
        throw InputError { std::string(poptBadOption(context, 0)) + ": " + poptStrerror(result) };
    while (const char* argument = poptGetArg(context))
        options.arguments_.emplace_back(argument);
    poptFreeContext(context);
    return options;
}

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw InputError { path + ": can't be read; give the path of a file" };
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void writeFile(const char* path, const std::string& text)
{
    if (!path)
        return;
    std::ofstream file(path);
    file << text;
    if (!file.flush())
        throw InputError { std::string(path) + ": can't be written; choose another path" };
}

template <typename Value>
Value parseFile(const std::string& path, ValidationResult<Value> (*parseValue)(const JsonValue&))
{
    JsonLimits limits;
    limits.maxBytes_ = std::size_t { 256 } << 20U;
    const Result<JsonValue> json = parseJson(readFile(path), path, limits);
    if (!json)
        throw InputError { describe(json.error()) };
    const ValidationResult<Value> value = parseValue(*json);
    if (value)
        return *value;
    std::string message;
    for (const Error& error : value.error())
        message += path + ": " + describe(error) + "\n";
    throw InputError { message };
}

void printViolations(const RepeatResult& repeat)
{
    for (const Violation& violation : repeat.violations_) {
        std::cout << "VIOLATION " << violationKindName(violation.kind_) << " " << violation.item_ << ": " << violation.description_ << "\n";
        for (const std::string& line : violation.trace_)
            std::cout << "    " << line << "\n";
    }
}

/** Prints the most frequent refusals and errors, most frequent first. */
void printRefusals(const RepeatRecord& record)
{
    constexpr std::size_t maxLines = 8;
    constexpr std::size_t maxTextBytes = 160;
    std::map<std::string, int> counts;
    for (const SentRequest& request : record.evidence_.requests_) {
        if (request.outcome_ != SentOutcome::Answered)
            ++counts[request.kind_ + " " + sentOutcomeName(request.outcome_) + ": " + request.answer_.substr(0, maxTextBytes)];
    }
    for (const SentJob& job : record.evidence_.jobs_) {
        if (job.state_ != "finished")
            ++counts["job " + job.state_ + ": " + job.reason_.substr(0, maxTextBytes)];
    }
    std::vector<std::pair<int, std::string>> lines;
    lines.reserve(counts.size());
    for (const auto& [text, count] : counts)
        lines.emplace_back(count, text);
    std::sort(lines.rbegin(), lines.rend());
    lines.resize(std::min(lines.size(), maxLines));
    for (const auto& [count, text] : lines)
        std::cout << std::setw(6) << count << " x " << text << "\n";
}

void printTable(const ExperimentResult& result)
{
    std::cout << std::left << std::setw(52) << "measure" << std::right << std::setw(14) << "mean" << std::setw(14) << "least" << std::setw(14) << "most"
              << "\n";
    for (const auto& [name, summary] : summarise(result))
        std::cout << std::left << std::setw(52) << name << std::right << std::setw(14) << summary.mean_ << std::setw(14) << summary.min_ << std::setw(14) << summary.max_ << "\n";
}

/** Thrown when a run can't continue. */
struct RunError {
    Error error_;
};

/** Parsed input files of a run. */
struct Inputs {
    Experiment experiment_;
    Testbed testbed_;
    Mix mix_;
};

Inputs readInputs(const Options& options)
{
    if (!options.mix_)
        throw InputError { "--mix is missing; give the mix of the deployment" };
    Inputs inputs { parseFile(options.arguments_[1], parseExperiment), parseFile(options.testbed_, parseTestbed), parseFile(options.mix_, parseMix) };
    if (options.repeats_ > 0)
        inputs.experiment_.repeats_ = options.repeats_;
    if (options.seed_ >= 0)
        inputs.experiment_.seed_ = static_cast<std::uint64_t>(options.seed_);
    if (inputs.experiment_.variants_.empty())
        inputs.experiment_.variants_.push_back({ "", jsonObject() });
    return inputs;
}

RepeatResult runOnce(const Inputs& inputs, const std::string& name, std::uint64_t seed)
{
    // The time makes the tags unique: idempotency keys of an earlier run would count as repeated calls.
    const std::string prefix = inputs.experiment_.name_ + "-" + std::to_string(seed) + "-" + std::to_string(monotonicNow().time_since_epoch().count());
    const ArrivalPlan plan = planArrivals(inputs.experiment_, inputs.mix_, inputs.testbed_.organisations_.size(), seed, prefix);
    const Result<RepeatRecord> record = runRepeat(inputs.testbed_, inputs.experiment_, plan, seed, [&name](const std::string& line) { std::cerr << name << ", " << line << "\n"; });
    if (!record)
        throw RunError { record.error() };
    RepeatResult result { seed, measure(inputs.testbed_, *record), audit(record->evidence_) };
    printViolations(result);
    printRefusals(*record);
    return result;
}

ExperimentResult runVariant(const Inputs& inputs, const PolicyVariant& variant)
{
    if (!variant.name_.empty()) {
        CxxtoolsHttpClient client;
        const std::atomic<bool> isStopped { false };
        const auto changed = changeConfiguration(
            OperatorClient(inputs.testbed_, client), [&variant](JsonValue& base) { setPolicy(base, variant.policy_); }, isStopped);
        if (!changed)
            throw RunError { changed.error() };
    }
    ExperimentResult result { inputs.experiment_.name_ + (variant.name_.empty() ? "" : "-" + variant.name_), inputs.testbed_.deployment_, {} };
    for (int repeat = 0; repeat < inputs.experiment_.repeats_; ++repeat) {
        const std::uint64_t seed = inputs.experiment_.seed_ + static_cast<std::uint64_t>(repeat);
        const std::string name = result.experiment_ + " repeat " + std::to_string(repeat + 1) + "/" + std::to_string(inputs.experiment_.repeats_) + " seed " + std::to_string(seed);
        result.repeats_.push_back(runOnce(inputs, name, seed));
    }
    std::cout << result.experiment_ << " at " << result.deployment_ << "\n";
    printTable(result);
    return result;
}

void printComparison(const ExperimentResult& before, const ExperimentResult& after)
{
    for (const MeasureComparison& comparison : compare(before, after)) {
        std::cout << std::left << std::setw(14) << verdictName(comparison.verdict_) << std::setw(52) << comparison.measure_ << comparison.before_.mean_ << " [" << comparison.before_.min_ << ", " << comparison.before_.max_ << "] -> "
                  << comparison.after_.mean_ << " [" << comparison.after_.min_ << ", " << comparison.after_.max_ << "]\n";
    }
}

/** Output file of a variant: the first variant uses the given path, later ones get a suffix. */
std::string variantFile(const std::string& path, std::size_t position, const PolicyVariant& variant)
{
    const std::size_t dot = path.rfind('.');
    return position ? path.substr(0, dot) + "-" + variant.name_ + (dot == std::string::npos ? "" : path.substr(dot)) : path;
}

int run(const Options& options)
{
    const Inputs inputs = readInputs(options);
    std::vector<ExperimentResult> results;
    std::size_t violationCount = 0;
    for (const PolicyVariant& variant : inputs.experiment_.variants_) {
        const ExperimentResult& result = results.emplace_back(runVariant(inputs, variant));
        for (const RepeatResult& repeat : result.repeats_)
            violationCount += repeat.violations_.size();
        const std::size_t position = results.size() - 1;
        if (options.result_)
            writeFile(variantFile(options.result_, position, variant).c_str(), writeJson(toJson(result)));
        if (options.report_)
            writeFile(variantFile(options.report_, position, variant).c_str(), htmlReport(result));
    }
    for (std::size_t position = 1; position < results.size(); ++position) {
        std::cout << results[0].experiment_ << " compared with " << results[position].experiment_ << "\n";
        printComparison(results[0], results[position]);
    }
    std::cout << "audit: " << violationCount << " violations in " << results.size() * results[0].repeats_.size() << " repeats\n";
    return violationCount ? exitViolations : 0;
}

int compareResults(const Options& options)
{
    const ExperimentResult before = parseFile(options.arguments_[1], parseResult);
    const ExperimentResult after = parseFile(options.arguments_[2], parseResult);
    printComparison(before, after);
    for (const MeasureComparison& comparison : compare(before, after)) {
        if (comparison.verdict_ == Verdict::Worse)
            return exitViolations;
    }
    return 0;
}

int dispatch(const Options& options)
{
    const std::size_t count = options.arguments_.size();
    const std::string command = count ? options.arguments_[0] : "";
    if (command == "run" && count == 2)
        return run(options);
    if (command == "compare" && count == 3)
        return compareResults(options);
    if (command == "check" && count == 2) {
        parseFile(options.arguments_[1], parseExperiment);
        return 0;
    }
    if (command == "report" && count == 2 && options.report_) {
        writeFile(options.report_, htmlReport(parseFile(options.arguments_[1], parseResult)));
        return 0;
    }
    throw InputError { "unknown command or wrong number of arguments; see --help" };
}

}

/** Load generator and experiment runner. */
int main(int argc, const char** argv)
{
    try {
        return dispatch(parse(argc, argv));
    } catch (const InputError& error) {
        std::cerr << error.message_ << "\n";
        return exitUsageError;
    } catch (const RunError& error) {
        std::cerr << describe(error.error_) << "\n";
        return exitRunFailed;
    } catch (const std::exception& error) {
        std::cerr << "fescuecleat-load: " << error.what() << "\n";
        return exitRunFailed;
    }
}
