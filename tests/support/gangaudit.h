#pragma once

#include "support/deployment.h"

#include <string>
#include <vector>

namespace fescuecleat::test {

/**
 * What the workers' log says against whole gangs and at most once: every
 * violation in words, none if there is nothing to say.
 *
 * An attempt of which not every prepared task started may not finish any, and an
 * attempt may begin only after every task of the one before has ended.
 */
std::vector<std::string> gangViolations(const std::vector<LogEntry>&);

/** Starts of one task of a job over all attempts. */
int startsOf(const std::vector<LogEntry>&, const std::string& job, int index);

}
