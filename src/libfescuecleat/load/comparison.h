#pragma once

#include "load/experimentresult.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Result of comparing one measure. */
enum class Verdict {
    Better,
    Worse,
    /** The ranges of the repeats overlap, so the difference is not significant. */
    WithinSpread,
};

const char* verdictName(Verdict);

/** Compares one measure of two results. */
struct MeasureComparison {
    std::string measure_;
    MeasureSummary before_;
    MeasureSummary after_;
    Verdict verdict_ = Verdict::WithinSpread;
};

/**
 * Compares the measures that both results have. A difference counts only if the
 * ranges of the repeats don't overlap. A single repeat has no range, so each
 * result needs at least two repeats for a verdict other than WithinSpread.
 */
std::vector<MeasureComparison> compare(const ExperimentResult& before, const ExperimentResult& after);

}
