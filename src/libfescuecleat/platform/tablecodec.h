#pragma once

#include "base/result.h"
#include "platform/table.h"

#include <string>

namespace fescuecleat {

/** Writes the body of a commit request. */
std::string writeTransaction(const Transaction&);

/** Parses the answer to a commit with status 200. Errors: those of parseJson(), WrongType, MissingMember. */
Result<Committed> parseCommitted(const std::string& body);

/** Parses the answer to a commit with status 409. */
Result<Conflicted> parseConflicted(const std::string& body);

/** Parses the answer to a read. */
Result<Row> parseRow(const std::string& body);

/** Parses the answer to a scan. */
Result<RowScan> parseRowScan(const std::string& body);

/** Parses the list of object names. */
Result<std::vector<std::string>> parseNames(const std::string& body);

}
