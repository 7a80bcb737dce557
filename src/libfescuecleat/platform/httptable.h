#pragma once

#include "platform/platformcaller.h"
#include "platform/table.h"

#include <string>

namespace fescuecleat {

/**
 * The platform's table over HTTP.
 *
 * A commit without an answer is repeated with the same write id until the
 * deadline. The table keeps write ids: if an earlier attempt took effect, the
 * repetition writes nothing and returns the outcome of that attempt. Querying
 * the write id instead would not be safe, because an attempt that is still in
 * flight could take effect after the query.
 */
class HttpTable : public Table {
public:
    /** The client must outlive this object. */
    HttpTable(HttpClient&, Address platform, const RetryPolicy& = {});

    Result<CommitOutcome> commit(const Transaction&, Time deadline) override;
    Result<Row> read(const std::string& key, Time deadline) override;
    Result<RowScan> scan(const std::string& prefix, Time deadline) override;

    PlatformCallCounts counts() const { return caller_.counts(); }

private:
    PlatformCaller caller_;
};

}
