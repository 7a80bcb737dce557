#pragma once

#include "load/audit.h"
#include "load/measures.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat {

/** Measures and violations of one repeat. */
struct RepeatResult {
    std::uint64_t seed_ = 0;
    RepeatMeasures measures_;
    std::vector<Violation> violations_;
};

/** Result of an experiment, as stored in result files. */
struct ExperimentResult {
    std::string experiment_;
    std::string deployment_;
    std::vector<RepeatResult> repeats_;
};

/** Mean, minimum and maximum of a measure over the repeats. */
struct MeasureSummary {
    double mean_ = 0;
    double min_ = 0;
    double max_ = 0;
};

/** Summarises each measure over the repeats that have it. */
std::map<std::string, MeasureSummary> summarise(const ExperimentResult&);

JsonValue toJson(const ExperimentResult&);

/** Parses the output of toJson(). */
ValidationResult<ExperimentResult> parseResult(const JsonValue&);

}
