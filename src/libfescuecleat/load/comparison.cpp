#include "load/comparison.h"

namespace fescuecleat {

namespace {

    constexpr std::size_t minRepeats = 2;

    Verdict compareRanges(const std::string& measure, const MeasureSummary& before, const MeasureSummary& after)
    {
        const bool rose = after.min_ > before.max_;
        const bool fell = after.max_ < before.min_;
        if (!rose && !fell)
            return Verdict::WithinSpread;
        return rose == isHigherBetter(measure) ? Verdict::Better : Verdict::Worse;
    }

}

const char* verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Better:
        return "better";
    case Verdict::Worse:
        return "worse";
    case Verdict::WithinSpread:
        return "within spread";
    }
    return "within spread";
}

std::vector<MeasureComparison> compare(const ExperimentResult& before, const ExperimentResult& after)
{
    const std::map<std::string, MeasureSummary> first = summarise(before);
    const std::map<std::string, MeasureSummary> second = summarise(after);
    const bool hasSpread = before.repeats_.size() >= minRepeats && after.repeats_.size() >= minRepeats;
    std::vector<MeasureComparison> comparisons;
    for (const auto& [name, summary] : first) {
        const auto other = second.find(name);
        if (other == second.end())
            continue;
        const Verdict verdict = hasSpread ? compareRanges(name, summary, other->second) : Verdict::WithinSpread;
        comparisons.push_back({ name, summary, other->second, verdict });
    }
    return comparisons;
}

}
