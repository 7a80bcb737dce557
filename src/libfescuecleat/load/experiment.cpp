#include "load/experiment.h"

#include "json/objectreader.h"

#include <algorithm>
#include <limits>

namespace fescuecleat {

namespace {

    constexpr std::int64_t maxDurationMs = 3600000;
    constexpr int maxDataCentres = 64;
    constexpr int maxRepeats = 50;
    constexpr int maxSenderThreads = 256;
    constexpr int maxMinions = 1000;
    constexpr double maxRateFactor = 1000;

    Duration readMilliseconds(ObjectReader& reader, const std::string& name)
    {
        return std::chrono::milliseconds(reader.integer(name, 0, maxDurationMs));
    }

    int readDataCentre(ObjectReader& reader)
    {
        return static_cast<int>(reader.integer("data_centre", 0, maxDataCentres));
    }

    Step readSetFaults(ObjectReader& reader)
    {
        SetFaultsStep step;
        const std::string target = reader.string("target");
        if (target == "workers")
            step.target_ = FaultTarget::Workers;
        else if (target == "minions")
            step.target_ = FaultTarget::Minions;
        else if (target != "platform")
            reader.report(ErrorKind::OutOfRange, "unknown fault target", "write platform, workers or minions", "target");
        step.dataCentre_ = static_cast<int>(reader.integerOr("data_centre", -1, 0, maxDataCentres));
        JsonValue body = jsonObject();
        JsonValue& faults = body.addMember("faults");
        faults.setCategory(JsonValue::Array);
        if (const JsonValue* list = reader.array("faults")) {
            faults = *list;
            faults.setName("faults");
        }
        step.faults_ = writeJson(body);
        return step;
    }

    Step readStep(ObjectReader& reader)
    {
        const std::string what = reader.string("do");
        if (what == "set_faults")
            return readSetFaults(reader);
        if (what == "take_out") {
            const int dataCentre = readDataCentre(reader);
            return TakeOutStep { dataCentre, readMilliseconds(reader, "deadline_ms") };
        }
        if (what == "return")
            return ReturnStep { readDataCentre(reader) };
        if (what == "leave_minions") {
            const int dataCentre = readDataCentre(reader);
            return LeaveMinionsStep { dataCentre, static_cast<int>(reader.integer("minions", 1, maxMinions)) };
        }
        if (what == "cut_off")
            return PartitionStep { readDataCentre(reader) };
        if (what == "join")
            return HealPartitionStep {};
        if (what == "configure")
            return ConfigureStep {};
        if (what == "cancel_wave")
            return CancelJobsStep { reader.number("share", 0, 1) };
        reader.report(ErrorKind::OutOfRange, "unknown step", "write set_faults, take_out, return, leave_minions, cut_off, join, configure or cancel_wave", "do");
        return HealPartitionStep {};
    }

    Burst parseBurst(const JsonValue& value, const std::string& path, std::vector<Error>& errors)
    {
        ObjectReader reader(value, path, errors);
        Burst burst;
        burst.from_ = readMilliseconds(reader, "at_ms");
        burst.until_ = burst.from_ + readMilliseconds(reader, "for_ms");
        burst.factor_ = reader.number("factor", 0, maxRateFactor);
        burst.appliesToRequests_ = reader.booleanOr("requests", true);
        burst.appliesToJobs_ = reader.booleanOr("jobs", true);
        reader.finish();
        return burst;
    }

    PolicyVariant parseVariant(const JsonValue& value, const std::string& path, std::vector<Error>& errors)
    {
        ObjectReader reader(value, path, errors);
        PolicyVariant variant;
        variant.name_ = reader.string("name");
        if (const JsonValue* policy = reader.object("policy"))
            variant.policy_ = *policy;
        reader.finish();
        return variant;
    }

    TimedStep parseStep(const JsonValue& value, const std::string& path, std::vector<Error>& errors)
    {
        ObjectReader reader(value, path, errors);
        TimedStep step;
        step.at_ = readMilliseconds(reader, "at_ms");
        step.step_ = readStep(reader);
        reader.finish();
        return step;
    }

}

ValidationResult<Experiment> parseExperiment(const JsonValue& value)
{
    std::vector<Error> errors;
    ObjectReader reader(value, "", errors);
    Experiment experiment;
    experiment.name_ = reader.string("name");
    experiment.seed_ = static_cast<std::uint64_t>(reader.integerOr("seed", 1, 0, std::numeric_limits<std::int64_t>::max()));
    experiment.duration_ = readMilliseconds(reader, "duration_ms");
    experiment.drainTime_ = readMilliseconds(reader, "drain_ms");
    experiment.repeats_ = static_cast<int>(reader.integerOr("repeats", 1, 1, maxRepeats));
    experiment.requestRateFactor_ = reader.numberOr("request_factor", 1, 0, maxRateFactor);
    experiment.jobRateFactor_ = reader.numberOr("job_factor", 1, 0, maxRateFactor);
    experiment.senderThreads_ = static_cast<int>(reader.integerOr("senders", experiment.senderThreads_, 1, maxSenderThreads));
    if (const JsonValue* list = reader.array("bursts", false)) {
        for (const JsonValue& item : *list)
            experiment.bursts_.push_back(parseBurst(item, "bursts[" + std::to_string(experiment.bursts_.size()) + "]", errors));
    }
    if (const JsonValue* list = reader.array("steps", false)) {
        for (const JsonValue& item : *list)
            experiment.steps_.push_back(parseStep(item, "steps[" + std::to_string(experiment.steps_.size()) + "]", errors));
    }
    if (const JsonValue* list = reader.array("variants", false)) {
        for (const JsonValue& item : *list)
            experiment.variants_.push_back(parseVariant(item, "variants[" + std::to_string(experiment.variants_.size()) + "]", errors));
    }
    reader.finish();
    if (!errors.empty())
        return tl::unexpected<std::vector<Error>>(errors);
    std::stable_sort(experiment.steps_.begin(), experiment.steps_.end(), [](const TimedStep& a, const TimedStep& b) { return a.at_ < b.at_; });
    return experiment;
}

}
