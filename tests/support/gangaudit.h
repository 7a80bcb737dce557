#pragma once

#include "support/deployment.h"

#include <string>
#include <vector>

namespace fescuecleat::test {

/**
 * Checks the workers' log for gangs that finished partially and for attempts that
 * overlapped. Returns a description of each violation.
 *
 * An attempt must not finish a task unless all of its prepared tasks were
 * started, and may start only after all tasks of the previous attempt have ended.
 */
std::vector<std::string> gangViolations(const std::vector<LogEntry>&);

/** Returns how often a task of a job was started, over all attempts. */
int startCount(const std::vector<LogEntry>&, const std::string& job, int index);

}
