#pragma once

#include "base/result.h"
#include "platform/table.h"

#include <string>

namespace fescuecleat {

/** Body of a commit call. */
std::string writeTransaction(const Transaction&);

/** Body of a commit's answer with status 200. Errors: as of parseJson, WrongType, MissingMember. */
Result<Committed> parseCommitted(const std::string& body);

/** Body of a commit's answer with status 409. */
Result<Conflicted> parseConflicted(const std::string& body);

/** Body of a read's answer. */
Result<Row> parseRow(const std::string& body);

/** Body of a scan's answer. */
Result<RowScan> parseRowScan(const std::string& body);

/** Body of an object listing. */
Result<std::vector<std::string>> parseNames(const std::string& body);

}
