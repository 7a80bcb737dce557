#include "node/storecall.h"

#include "base/overloaded.h"

#include <nlohmann/json.hpp>

namespace fescuecleat {

namespace {

    using Json = nlohmann::json;

    std::string toBytes(const Json& json)
    {
        const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
        return { bytes.begin(), bytes.end() };
    }

    Json encodeRows(const std::vector<StoredRow>& rows)
    {
        Json encoded = Json::array();
        for (const StoredRow& row : rows)
            encoded.push_back({ row.key_, row.value_, row.version_, row.isDeleted_ });
        return encoded;
    }

    std::vector<StoredRow> decodeRows(const Json& encoded)
    {
        std::vector<StoredRow> rows;
        for (const Json& row : encoded)
            rows.push_back({ row.at(0), row.at(1), row.at(2), row.at(3) });
        return rows;
    }

    Json encodeCommit(const RowTransaction& transaction)
    {
        Json expectations = Json::array();
        for (const RowExpectation& row : transaction.expectations_)
            expectations.push_back({ row.table_, row.key_, row.version_ });
        Json writes = Json::array();
        for (const RowUpsert& row : transaction.writes_)
            writes.push_back({ row.table_, row.key_, row.value_ });
        Json deletions = Json::array();
        for (const RowDeletion& row : transaction.deletions_)
            deletions.push_back({ row.table_, row.key_ });
        return { { "kind", "commit" }, { "part", transaction.part_ }, { "expectations", std::move(expectations) }, { "writes", std::move(writes) }, { "deletions", std::move(deletions) } };
    }

    RowTransaction decodeCommit(const Json& json)
    {
        RowTransaction transaction;
        transaction.part_ = json.at("part");
        for (const Json& row : json.at("expectations"))
            transaction.expectations_.push_back({ row.at(0), row.at(1), row.at(2) });
        for (const Json& row : json.at("writes"))
            transaction.writes_.push_back({ row.at(0), row.at(1), row.at(2) });
        for (const Json& row : json.at("deletions"))
            transaction.deletions_.push_back({ row.at(0), row.at(1) });
        return transaction;
    }

}

std::string encodeStoreCall(const StoreCall& call)
{
    Json json = std::visit(Overloaded {
                               [](const CommitCall& commit) { return encodeCommit(commit.transaction_); },
                               [](const ReadCall& read) { return Json { { "kind", "read" }, { "table", read.range_.table_ }, { "part", read.range_.part_ }, { "from", read.range_.from_ }, { "to", read.range_.to_ } }; },
                               [](const FollowCall& follow) { return Json { { "kind", "follow" }, { "table", follow.table_ }, { "after", follow.after_ }, { "waitUs", follow.wait_.count() } }; },
                           },
        call.call_);
    json["timeLimitUs"] = call.timeout_.count();
    return toBytes(json);
}

std::optional<StoreCall> decodeStoreCall(const std::string& bytes)
{
    try {
        const Json json = Json::from_cbor(bytes);
        StoreCall call;
        call.timeout_ = Duration(json.at("timeLimitUs").get<std::int64_t>());
        const std::string kind = json.at("kind");
        if (kind == "commit")
            call.call_ = CommitCall { decodeCommit(json) };
        else if (kind == "read")
            call.call_ = ReadCall { { json.at("table"), json.at("part"), json.at("from"), json.at("to") } };
        else if (kind == "follow")
            call.call_ = FollowCall { json.at("table"), json.at("after"), Duration(json.at("waitUs").get<std::int64_t>()) };
        else
            return std::nullopt;
        return call;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::string encodeStoreOutcome(const StoreOutcome& outcome)
{
    if (!outcome) {
        const StoreFailure& failure = outcome.error();
        return toBytes({ { "failure", static_cast<int>(failure.kind_) }, { "rows", encodeRows(failure.rows_) }, { "message", failure.message_ } });
    }
    return toBytes({ { "rows", encodeRows(outcome->rows_) }, { "hasMore", outcome->hasMore_ }, { "version", outcome->timestamp_.version_ }, { "clockMs", outcome->timestamp_.clockMs_ } });
}

std::optional<StoreOutcome> decodeStoreOutcome(const std::string& bytes)
{
    try {
        const Json json = Json::from_cbor(bytes);
        if (json.contains("failure")) {
            const int kind = json["failure"];
            if (kind < static_cast<int>(StoreFailureKind::Conflict) || kind > static_cast<int>(StoreFailureKind::Rejected))
                return std::nullopt;
            return tl::unexpected<StoreFailure>({ static_cast<StoreFailureKind>(kind), decodeRows(json.at("rows")), json.at("message") });
        }
        RowPage page;
        page.rows_ = decodeRows(json.at("rows"));
        page.hasMore_ = json.at("hasMore");
        page.timestamp_.version_ = json.at("version");
        page.timestamp_.clockMs_ = json.at("clockMs");
        return page;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}
