#include "standins/platform/platformendpoint.h"

#include "base/overloaded.h"
#include "standins/common/faultport.h"
#include "json/objectreader.h"

#include <limits>

namespace fescuecleat::standins {

namespace {

    constexpr std::size_t maxKeyBytes = 4096;
    constexpr std::int64_t maxVersion = std::numeric_limits<std::int64_t>::max();

    std::string queryValue(const HttpRequest& request, const std::string& name)
    {
        const auto found = request.query_.find(name);
        return found == request.query_.end() ? "" : found->second;
    }

    std::string stringValue(const JsonValue* value)
    {
        std::string text;
        if (value)
            value->getValue(text);
        return text;
    }

    RowCondition parseCondition(const JsonValue& value, const std::string& path, std::vector<Error>& errors)
    {
        ObjectReader reader(value, path, errors);
        RowCondition condition;
        condition.key_ = reader.string("key", maxKeyBytes);
        condition.version_ = static_cast<std::uint64_t>(reader.integer("version", 0, maxVersion));
        reader.finish();
        return condition;
    }

    RowWrite parseWrite(const JsonValue& value, const std::string& path, std::vector<Error>& errors)
    {
        ObjectReader reader(value, path, errors);
        RowWrite write;
        write.key_ = reader.string("key", maxKeyBytes);
        if (!reader.booleanOr("delete", false))
            write.value_ = stringValue(reader.any("value"));
        reader.finish();
        return write;
    }

    Result<Transaction> parseTransaction(const std::string& text)
    {
        const Result<JsonValue> value = parseJson(text);
        if (!value)
            return tl::unexpected<Error>(value.error());
        std::vector<Error> errors;
        ObjectReader reader(*value, "", errors);
        Transaction transaction;
        transaction.writeId_ = reader.string("write_id", maxKeyBytes);
        if (const JsonValue* conditions = reader.array("conditions", false)) {
            for (const JsonValue& item : *conditions)
                transaction.conditions_.push_back(parseCondition(item, "conditions", errors));
        }
        if (const JsonValue* writes = reader.array("writes", false)) {
            for (const JsonValue& item : *writes)
                transaction.writes_.push_back(parseWrite(item, "writes", errors));
        }
        reader.finish();
        if (!errors.empty())
            return tl::unexpected<Error>(errors.front());
        return transaction;
    }

    void writeRow(const Row& row, JsonValue& value)
    {
        value.setCategory(JsonValue::Object);
        value.addMember("key") <<= row.key_;
        value.addMember("value") <<= row.value_;
        value.addMember("version") <<= row.version_;
    }

    JsonValue rowList(const std::vector<Row>& rows, const char* name)
    {
        JsonValue value = jsonObject();
        JsonValue& list = value.addMember(name);
        list.setCategory(JsonValue::Array);
        for (const Row& row : rows)
            writeRow(row, list.addMember(""));
        return value;
    }

    bool isWrite(const HttpRequest& request)
    {
        return request.method_ != "GET";
    }

}

PlatformEndpoint::PlatformEndpoint(EventLoop& loop, EventLog& log, const PlatformLimits& limits)
    : loop_(loop)
    , log_(log)
    , latency_(limits.latency_)
    , writeLimit_(limits.writesPerSecond_)
    , readLimit_(limits.readsPerSecond_)
    , instances_(limits.instanceLag_)
{
}

void PlatformEndpoint::handle(const HttpRequest& request, const Reply& reply)
{
    const Time now = monotonicNow();
    const Time servedAt = (isWrite(request) ? writeLimit_.admit(now) : readLimit_.admit(now)) + latency_;
    loop_.runAt(servedAt, [this, request, reply] { reply(respond(request)); });
}

HttpResponse PlatformEndpoint::respond(const HttpRequest& request)
{
    if (request.path_ == "/v1/commit" && request.method_ == "POST")
        return commit(request);
    if (request.path_ == "/v1/object")
        return object(request);
    if (request.method_ != "GET")
        return notFound(request);
    if (request.path_ == "/v1/row") {
        JsonValue value;
        writeRow(table_.read(queryValue(request, "key")), value);
        return jsonResponse(200, value);
    }
    if (request.path_ == "/v1/rows") {
        JsonValue value = rowList(table_.scan(queryValue(request, "prefix")), "rows");
        value.addMember("revision") <<= table_.revision();
        return jsonResponse(200, value);
    }
    if (request.path_ == "/v1/write") {
        const std::optional<std::uint64_t> revision = table_.committedRevision(queryValue(request, "id"));
        JsonValue value = jsonObject();
        value.addMember("committed") <<= revision.has_value();
        value.addMember("revision") <<= revision.value_or(0);
        return jsonResponse(200, value);
    }
    if (request.path_ == "/v1/objects")
        return listObjects(queryValue(request, "prefix"));
    if (request.path_ == "/v1/instances")
        return jsonResponse(200, instances_.visible(monotonicNow()));
    return notFound(request);
}

HttpResponse PlatformEndpoint::commit(const HttpRequest& request)
{
    const Result<Transaction> transaction = parseTransaction(request.body_);
    if (!transaction)
        return errorResponse(400, errorKindName(transaction.error().kind_), describe(transaction.error()));
    const Time now = monotonicNow();
    return std::visit(
        Overloaded {
            [&](const Committed& committed) {
                for (const RowWrite& write : transaction->writes_)
                    log_.add(now, "", "row_written", { { "key", write.key_ }, { "write", transaction->writeId_ }, { "revision", std::to_string(committed.revision_) } });
                JsonValue value = jsonObject();
                value.addMember("revision") <<= committed.revision_;
                return jsonResponse(200, value);
            },
            [](const Conflicted& conflicted) { return jsonResponse(409, rowList(conflicted.current_, "current")); },
        },
        table_.commit(*transaction));
}

HttpResponse PlatformEndpoint::object(const HttpRequest& request)
{
    const std::string name = queryValue(request, "name");
    if (request.method_ == "PUT") {
        objects_[name] = request.body_;
        return jsonResponse(200, jsonObject());
    }
    if (request.method_ == "DELETE") {
        objects_.erase(name);
        return jsonResponse(200, jsonObject());
    }
    const auto found = objects_.find(name);
    if (request.method_ != "GET" || found == objects_.end())
        return notFound(request);
    return { 200, { { "content-type", "application/octet-stream" } }, found->second };
}

HttpResponse PlatformEndpoint::listObjects(const std::string& prefix) const
{
    JsonValue value = jsonObject();
    JsonValue& names = value.addMember("names");
    names.setCategory(JsonValue::Array);
    for (auto object = objects_.lower_bound(prefix); object != objects_.end() && object->first.compare(0, prefix.size(), prefix) == 0; ++object)
        names.addMember("") <<= object->first;
    return jsonResponse(200, value);
}

HttpResponse PlatformEndpoint::handleFaultPort(const HttpRequest& request)
{
    if (request.path_ != "/instances")
        return notFound(request);
    const Time now = monotonicNow();
    if (request.method_ == "DELETE") {
        instances_.remove(queryValue(request, "id"), now);
        log_.add(now, queryValue(request, "id"), "instance_removed");
        return jsonResponse(200, jsonObject());
    }
    if (request.method_ == "POST")
        return updateInstances(request);
    if (request.method_ == "GET")
        return jsonResponse(200, instances_.visible(now));
    return notFound(request);
}

HttpResponse PlatformEndpoint::updateInstances(const HttpRequest& request)
{
    const Result<JsonValue> value = parseJson(request.body_);
    if (!value)
        return errorResponse(400, errorKindName(value.error().kind_), describe(value.error()));
    std::vector<Error> errors;
    ObjectReader reader(*value, "", errors);
    const JsonValue* list = reader.array("instances");
    if (!list)
        return errorResponse(400, errorKindName(errors.front().kind_), describe(errors.front()));
    const Time now = monotonicNow();
    for (const JsonValue& item : *list) {
        const std::string id = stringValue(item.findMember("id"));
        if (id.empty())
            return errorResponse(400, "missing_member", "an instance has no id; add the member");
        instances_.put(id, item, now);
        log_.add(now, id, "instance_listed", { { "entry", writeJson(item) } });
    }
    return jsonResponse(200, jsonObject());
}

}
