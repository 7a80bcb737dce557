#include "node/jobintake.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <nlohmann/json.hpp>

namespace fescuecleat {

namespace {

    using Json = nlohmann::json;

    /** Sorts a job's cancel row directly after its intake row. */
    constexpr char cancelSuffix = '!';

    Json encodeStep(const StepSpec& step)
    {
        Json json { { "tasks", step.taskCount_ }, { "cpu", step.resources_.cpuMillis_ }, { "memory", step.resources_.memoryMb_ },
            { "accelerators", step.resources_.accelerators_ }, { "estimateUs", step.estimate_.count() } };
        const auto flag = [&json](const char* name, bool value) {
            if (value)
                json[name] = true;
        };
        flag("gang", step.isGang_);
        flag("oneRack", step.wantsOneRack_);
        flag("saves", step.savesProgress_);
        flag("speculative", step.isSpeculative_);
        flag("lasts", step.isLongRunning_);
        flag("filler", step.isFiller_);
        if (!step.after_.empty())
            json["after"] = step.after_;
        if (!step.requiredLabel_.empty())
            json["label"] = step.requiredLabel_;
        if (!step.preferredRack_.empty())
            json["rack"] = step.preferredRack_;
        if (step.maxTasksPerWorker_ > 0)
            json["perWorker"] = step.maxTasksPerWorker_;
        if (step.maxUnavailable_ > 0)
            json["maxUnavailable"] = step.maxUnavailable_;
        if (!step.image_.empty())
            json["image"] = step.image_;
        return json;
    }

    StepSpec decodeStep(const Json& json)
    {
        StepSpec step;
        step.taskCount_ = json.at("tasks");
        step.resources_ = { json.at("cpu"), json.at("memory"), json.at("accelerators") };
        step.estimate_ = Duration(json.at("estimateUs").get<std::int64_t>());
        step.isGang_ = json.value("gang", false);
        step.wantsOneRack_ = json.value("oneRack", false);
        step.savesProgress_ = json.value("saves", false);
        step.isSpeculative_ = json.value("speculative", false);
        step.isLongRunning_ = json.value("lasts", false);
        step.isFiller_ = json.value("filler", false);
        step.after_ = json.value("after", std::vector<int>());
        step.requiredLabel_ = json.value("label", std::string());
        step.preferredRack_ = json.value("rack", std::string());
        step.maxTasksPerWorker_ = json.value("perWorker", 0);
        step.maxUnavailable_ = json.value("maxUnavailable", 0);
        step.image_ = json.value("image", std::string());
        return step;
    }

    /** Whether steps have tasks and depend on earlier ones only, and all tasks and times are numbers in range. */
    bool isRunnable(const PoolJobSpec& spec)
    {
        std::int64_t tasks = 0;
        for (std::size_t i = 0; i < spec.steps_.size(); ++i) {
            const StepSpec& step = spec.steps_[i];
            const auto isEarlier = [i](int dependency) { return dependency >= 0 && static_cast<std::size_t>(dependency) < i; };
            if (step.taskCount_ < 1 || !std::all_of(step.after_.begin(), step.after_.end(), isEarlier))
                return false;
            tasks += step.taskCount_;
        }
        constexpr std::int64_t max = std::numeric_limits<std::int64_t>::max();
        const std::int64_t occurrences = std::max(1, spec.occurrences_);
        const bool areTimesValid = spec.firstDueUnixMs_ >= 0 && spec.periodMs_ >= 0 && spec.periodMs_ <= (max - spec.firstDueUnixMs_) / occurrences;
        return spec.occurrences_ >= 0 && tasks > 0 && tasks <= max / occurrences && areTimesValid;
    }

}

std::string intakePartOf(const std::string& job)
{
    return std::string(1, static_cast<char>(std::tolower(static_cast<unsigned char>(job.front()))));
}

std::vector<std::string> intakeParts()
{
    std::vector<std::string> parts;
    for (const char digit : std::string("0123456789abcdef"))
        parts.emplace_back(1, digit);
    return parts;
}

std::string cancelKey(const std::string& job)
{
    return job + cancelSuffix;
}

std::optional<std::string> jobOfCancelKey(const std::string& key)
{
    if (key.size() < 2 || key.back() != cancelSuffix)
        return std::nullopt;
    return key.substr(0, key.size() - 1);
}

std::string encodeCancellation(std::int64_t atMs)
{
    return Json { { "atMs", atMs } }.dump();
}

std::int64_t cancelledAtMs(const std::string& text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("atMs") || !json["atMs"].is_number_integer())
        return 0;
    return std::max<std::int64_t>(0, json["atMs"].get<std::int64_t>());
}

std::string encodeJobIntake(const JobIntake& intake)
{
    const JobPolicy& policy = intake.policy_;
    Json steps = Json::array();
    for (const StepSpec& step : intake.spec_.steps_)
        steps.push_back(encodeStep(step));
    Json json { { "queue", policy.queue_ }, { "service", policy.service_ }, { "organisation", policy.organisation_ },
        { "priority", policy.priority_ }, { "attempts", policy.maxAttempts_ }, { "stretch", policy.stretch_ },
        { "latencyUs", policy.latencyTarget_.count() }, { "submittedMs", intake.submittedMs_ },
        { "payload", intake.spec_.payload_ }, { "steps", std::move(steps) } };
    if (policy.needsAdvice_)
        json["advice"] = true;
    if (policy.configurationVersion_ > 0)
        json["configuration"] = policy.configurationVersion_;
    if (intake.spec_.isTimed())
        json["times"] = { intake.spec_.occurrences_, intake.spec_.firstDueUnixMs_, intake.spec_.periodMs_ };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<JobIntake> decodeJobIntake(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        JobIntake intake;
        JobPolicy& policy = intake.policy_;
        policy.queue_ = json.at("queue");
        policy.service_ = json.at("service");
        policy.organisation_ = json.at("organisation");
        policy.priority_ = json.at("priority");
        policy.maxAttempts_ = json.at("attempts");
        policy.stretch_ = json.at("stretch");
        policy.latencyTarget_ = Duration(json.at("latencyUs").get<std::int64_t>());
        policy.needsAdvice_ = json.value("advice", false);
        policy.configurationVersion_ = json.value("configuration", std::uint64_t(0));
        intake.submittedMs_ = json.at("submittedMs");
        intake.spec_.payload_ = json.at("payload");
        for (const Json& step : json.at("steps"))
            intake.spec_.steps_.push_back(decodeStep(step));
        if (json.contains("times")) {
            intake.spec_.occurrences_ = json["times"].at(0);
            intake.spec_.firstDueUnixMs_ = json["times"].at(1);
            intake.spec_.periodMs_ = json["times"].at(2);
        }
        if (!isRunnable(intake.spec_))
            return std::nullopt;
        return intake;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}
