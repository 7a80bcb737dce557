#pragma once

#include "load/audit.h"
#include "load/measures.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat {

/** One repeat of a result. */
struct RepeatResult {
    std::uint64_t seed_ = 0;
    RepeatMeasures measures_;
    std::vector<Violation> violations_;
};

/** What an experiment gave, to be kept and compared. */
struct ExperimentResult {
    std::string experiment_;
    std::string deployment_;
    std::vector<RepeatResult> repeats_;
};

/** A measure over the repeats. */
struct MeasureSummary {
    double mean_ = 0;
    double least_ = 0;
    double most_ = 0;
};

/** Every measure over the repeats that have it. */
std::map<std::string, MeasureSummary> summarise(const ExperimentResult&);

JsonValue toJson(const ExperimentResult&);

/** Reads what toJson() wrote. */
Checked<ExperimentResult> parseResult(const JsonValue&);

}
