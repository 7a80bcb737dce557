#pragma once

#include "load/experimentresult.h"

#include <string>
#include <vector>

namespace fescuecleat {

enum class Verdict {
    Better,
    Worse,
    /** The repeats of the two results overlap, so nothing is shown. */
    WithinSpread,
};

const char* verdictName(Verdict);

/** One measure of two results. */
struct MeasureComparison {
    std::string measure_;
    MeasureSummary before_;
    MeasureSummary after_;
    Verdict verdict_ = Verdict::WithinSpread;
};

/**
 * Compares the measures that both results have. A change counts only if the
 * ranges of the repeats don't overlap; one repeat alone has no spread, so at
 * least two of each are needed for a verdict.
 */
std::vector<MeasureComparison> compare(const ExperimentResult& before, const ExperimentResult& after);

}
