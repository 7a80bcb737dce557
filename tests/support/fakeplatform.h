#pragma once

#include "http/httpclient.h"
#include "platform/tablecodec.h"
#include "support/faketable.h"
#include "json/objectreader.h"

#include <random>
#include <string>
#include <vector>

namespace fescuecleat {

/**
 * The platform's table behind the HTTP client interface. Requests and responses
 * are lost and delivered late as drawn from a seeded generator.
 */
class FakePlatform : public HttpClient {
public:
    /** Share of the calls with each fault, 0 to 1. */
    struct Faults {
        double refuse_ = 0;
        double loseRequest_ = 0;
        double loseAnswer_ = 0;
        double fail_ = 0;
        /** The caller gets no response, and the request reaches the table during a later call. */
        double late_ = 0;
    };

    explicit FakePlatform(unsigned seed)
        : random_(seed)
    {
    }

    void setFaults(const Faults& faults) { faults_ = faults; }
    FakeTable& table() { return table_; }
    int requests() const { return requests_; }

    tl::expected<HttpResponse, TransportError> send(const Address&, const HttpRequest& request, Time, bool) override
    {
        ++requests_;
        maybeDeliverDelayed();
        if (happens(faults_.refuse_))
            return tl::unexpected<TransportError>({ TransportFailure::NotSent, "refused" });
        if (happens(faults_.fail_))
            return HttpResponse { 503, {}, {} };
        if (happens(faults_.late_)) {
            delayed_.push_back(request);
            return noAnswer();
        }
        if (happens(faults_.loseRequest_))
            return noAnswer();
        HttpResponse response = respond(request);
        if (happens(faults_.loseAnswer_))
            return noAnswer();
        return response;
    }

    /** Delivers all delayed requests. */
    void deliverAll()
    {
        while (!delayed_.empty())
            deliver(0);
    }

private:
    static tl::unexpected<TransportError> noAnswer()
    {
        return tl::unexpected<TransportError>({ TransportFailure::NoAnswer, "no answer" });
    }

    bool happens(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

    void maybeDeliverDelayed()
    {
        if (!delayed_.empty() && happens(0.5))
            deliver(std::uniform_int_distribution<std::size_t>(0, delayed_.size() - 1)(random_));
    }

    void deliver(std::size_t index)
    {
        const HttpRequest request = delayed_[index];
        delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(index));
        respond(request);
    }

    static void writeRows(JsonValue& value, const char* name, const std::vector<Row>& rows)
    {
        JsonValue& array = value.addMember(name);
        array.setCategory(JsonValue::Array);
        for (const Row& row : rows)
            writeRow(array.addMember(""), row);
    }

    static void writeRow(JsonValue& value, const Row& row)
    {
        value.setCategory(JsonValue::Object);
        value.addMember("key") <<= row.key_;
        value.addMember("value") <<= row.value_;
        value.addMember("version") <<= static_cast<std::int64_t>(row.version_);
    }

    static Transaction parseTransaction(const std::string& body)
    {
        const JsonValue value = *parseJson(body);
        std::vector<Error> errors;
        ObjectReader reader(value, "transaction", errors);
        Transaction transaction;
        transaction.writeId_ = reader.string("write_id");
        for (const JsonValue& member : *reader.array("conditions")) {
            ObjectReader condition(member, "condition", errors);
            transaction.conditions_.push_back({ condition.string("key"), static_cast<std::uint64_t>(condition.integer("version", 0, 1LL << 60)) });
        }
        for (const JsonValue& member : *reader.array("writes")) {
            ObjectReader write(member, "write", errors);
            if (write.booleanOr("delete", false))
                transaction.writes_.push_back({ write.string("key"), std::nullopt });
            else
                transaction.writes_.push_back({ write.string("key"), write.string("value", 1U << 20U) });
        }
        return transaction;
    }

    HttpResponse respond(const HttpRequest& request)
    {
        JsonValue value = jsonObject();
        if (request.path_ == "/v1/commit") {
            const CommitOutcome outcome = *table_.commit(parseTransaction(request.body_), Time::max());
            if (const auto* conflicted = std::get_if<Conflicted>(&outcome)) {
                writeRows(value, "current", conflicted->current_);
                return { 409, {}, writeJson(value) };
            }
            value.addMember("revision") <<= static_cast<std::int64_t>(std::get<Committed>(outcome).revision_);
        } else if (request.path_ == "/v1/row") {
            writeRow(value, *table_.read(request.query_.at("key"), Time::max()));
        } else {
            const RowScan scan = *table_.scan(request.query_.at("prefix"), Time::max());
            writeRows(value, "rows", scan.rows_);
            value.addMember("revision") <<= static_cast<std::int64_t>(scan.revision_);
        }
        return { 200, {}, writeJson(value) };
    }

    FakeTable table_;
    std::mt19937 random_;
    Faults faults_;
    std::vector<HttpRequest> delayed_;
    int requests_ = 0;
};

}
