#pragma once

#include "base/result.h"
#include "load/arrivalplan.h"
#include "load/evidence.h"
#include "load/experiment.h"
#include "load/testbed.h"

#include <functional>
#include <string>

namespace fescuecleat {

/** Evidence from one repeat of an experiment. */
struct RepeatRecord {
    std::uint64_t seed_ = 0;
    Time start_ { Duration::zero() };
    Time end_ { Duration::zero() };
    Evidence evidence_;
};

/** Called about once a second with a progress line. */
using ProgressCallback = std::function<void(const std::string&)>;

/** Runs one repeat against the testbed in real time. Errors: Unavailable. */
Result<RepeatRecord> runRepeat(const Testbed&, const Experiment&, const ArrivalPlan&, std::uint64_t seed, const ProgressCallback&);

}
