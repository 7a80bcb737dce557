#pragma once

#include "platform/platformcaller.h"
#include "platform/table.h"

#include <string>

namespace fescuecleat {

/**
 * The platform's table over HTTP.
 *
 * A commit without an answer is repeated under the same write id until the
 * deadline. The table keeps write ids, so the repetition changes nothing if an
 * earlier attempt took effect and its answer is the first one's. That settles
 * the outcome; asking whether the write id is known would not, since an
 * attempt that is still on its way could take effect after the question.
 */
class HttpTable : public Table {
public:
    /** The client outlives the table. */
    HttpTable(HttpClient&, Address platform, const RetryPolicy& = {});

    Result<CommitOutcome> commit(const Transaction&, Time deadline) override;
    Result<Row> read(const std::string& key, Time deadline) override;
    Result<RowScan> scan(const std::string& prefix, Time deadline) override;

    PlatformCallCounts counts() const { return caller_.counts(); }

private:
    PlatformCaller caller_;
};

}
