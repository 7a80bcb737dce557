#include "platform/httptable.h"

#include "platform/tablecodec.h"

#include <utility>

namespace fescuecleat {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;

    HttpRequest getRequest(const char* path, const char* parameter, const std::string& value)
    {
        HttpRequest request;
        request.path_ = path;
        request.query_[parameter] = value;
        return request;
    }

    tl::unexpected<Error> unexpectedStatus(const HttpResponse& response)
    {
        return failure(ErrorKind::Unavailable, "the platform's table answered with status " + std::to_string(response.status_), "check the platform's address and the version of its protocol");
    }

    /** Status 200 with an unreadable body: the commit may have taken effect. */
    tl::unexpected<Error> unreadableOutcome(const Error& error)
    {
        return failure(ErrorKind::OutcomeUnknown, "the answer to the commit can't be parsed: " + error.message_, "repeat the commit with the same write id or read the rows", error.location_);
    }

}

HttpTable::HttpTable(HttpClient& client, Address platform, const RetryPolicy& policy)
    : caller_(client, std::move(platform), policy)
{
}

Result<CommitOutcome> HttpTable::commit(const Transaction& transaction, Time deadline)
{
    HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/v1/commit";
    request.headers_["content-type"] = "application/json";
    request.body_ = writeTransaction(transaction);
    const auto answer = caller_.send(request, deadline);
    if (!answer)
        return tl::unexpected<Error>(answer.error().toWriteError());
    if (answer->response_.status_ == statusOk) {
        const Result<Committed> committed = parseCommitted(answer->response_.body_);
        if (!committed)
            return unreadableOutcome(committed.error());
        return CommitOutcome { *committed };
    }
    if (answer->response_.status_ == statusConflict) {
        const Result<Conflicted> conflicted = parseConflicted(answer->response_.body_);
        // Status 409 already shows that nothing took effect, also if the body can't be parsed.
        return CommitOutcome { conflicted ? *conflicted : Conflicted {} };
    }
    if (answer->mayHaveTakenEffectBefore_)
        return failure(ErrorKind::OutcomeUnknown, "an attempt of the commit got no answer and a later one was refused", "repeat the commit with the same write id or read the rows");
    return unexpectedStatus(answer->response_);
}

Result<Row> HttpTable::read(const std::string& key, Time deadline)
{
    const auto answer = caller_.send(getRequest("/v1/row", "key", key), deadline);
    if (!answer)
        return tl::unexpected<Error>(answer.error().toReadError());
    if (answer->response_.status_ != statusOk)
        return unexpectedStatus(answer->response_);
    Result<Row> row = parseRow(answer->response_.body_);
    if (row && row->key_ != key)
        return failure(ErrorKind::Unavailable, "the platform answered with a row of another key", "read the row again");
    return row;
}

Result<RowScan> HttpTable::scan(const std::string& prefix, Time deadline)
{
    const auto answer = caller_.send(getRequest("/v1/rows", "prefix", prefix), deadline);
    if (!answer)
        return tl::unexpected<Error>(answer.error().toReadError());
    if (answer->response_.status_ != statusOk)
        return unexpectedStatus(answer->response_);
    Result<RowScan> scan = parseRowScan(answer->response_.body_);
    if (!scan)
        return scan;
    for (const Row& row : scan->rows_) {
        if (row.key_.compare(0, prefix.size(), prefix) != 0)
            return failure(ErrorKind::Unavailable, "the platform answered with rows of another prefix", "scan the rows again");
    }
    return scan;
}

}
