#include "store.h"

#include "wirenames.inc"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>

namespace review {

namespace {

    namespace base64 = boost::beast::detail::base64;

    std::string percentDecode(const std::string& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }

    std::map<std::string, std::string> parseQuery(const std::string& target)
    {
        std::map<std::string, std::string> query;
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t end = target.find('&', at + 1);
            const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            const std::size_t equals = pair.find('=');
            if (equals != std::string::npos)
                query[pair.substr(0, equals)] = percentDecode(pair.substr(equals + 1));
            at = end;
        }
        return query;
    }

}

std::string encodeBase64(const std::string& bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string decodeBase64(const std::string& text)
{
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

Store::Store(asio::io_context& loop, Record& record)
    : loop_(loop)
    , record_(record)
    , server_(loop, [this](const Request& request, Respond respond) { handle(request, respond); })
{
}

Json Store::stamp() const
{
    return { { "ver", version_ }, { "nowMs", elapsedMs() + 1000 } };
}

void Store::answerLater(std::chrono::milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
    timer->async_wait([timer, action = std::move(action)](beast::error_code) { action(); });
}

void Store::handle(const Request& request, const Respond& respond)
{
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    if (path == wire::commitPath)
        return commit(request.body(), respond);
    const auto query = parseQuery(target);
    if (path == wire::readPath) {
        const auto part = query.find("part");
        if (part != query.end() && isRefused(part->second))
            return answerLater(readTime, [respond] { respond({ 503, "{}" }); });
        return answerLater(readTime, [this, query, respond] { respond(readRows(query)); });
    }
    if (path == wire::followPath)
        return watch(query, respond);
    respond({ 404, "{}" });
}

void Store::commit(const std::string& body, const Respond& respond)
{
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_discarded() || body.size() > 2 * maxTransactionBytes)
        return respond({ 400, "{}" });
    const Json writes = json.value(wire::writes, Json::array());
    for (const Json& row : writes) {
        if (isRefused(row.value("part", std::string())))
            return answerLater(readTime, [respond] { respond({ 503, "{}" }); });
    }
    std::size_t bytes = 0;
    for (const Json& row : writes) {
        const std::string value = decodeBase64(row.at("value").get<std::string>());
        bytes += value.size();
        if (value.size() > rowBytes) {
            if (refusedForSize_++ == 0)
                record_.write("store refuses a write: the value of %s/%s has %zu bytes, at most %zu are taken", row.at("table").get<std::string>().c_str(), row.at("key").get<std::string>().c_str(), value.size(), rowBytes);
            return answerLater(transactionTime, [respond] { respond({ 400, R"({"error":"the value is too large"})" }); });
        }
    }
    if (writes.size() + json.value(wire::expectations, Json::array()).size() + json.value("remove", Json::array()).size() > maxEntries || bytes > maxTransactionBytes)
        return respond({ 400, R"({"error":"the transaction is too large"})" });
    answerLater(transactionTime, [this, json, respond] { respond(apply(json)); });
}

Answer Store::apply(const Json& json)
{
    const auto keyOf = [](const Json& row) { return RowKey { row.at("table"), row.value("part", std::string()), row.at("key") }; };
    bool isMet = true;
    Json current = Json::array();
    for (const Json& expected : json.value(wire::expectations, Json::array())) {
        const auto row = rows_.find(keyOf(expected));
        isMet = isMet && (row == rows_.end() ? 0 : row->second.version_) == expected.at("ver").get<std::uint64_t>();
        if (row != rows_.end())
            current.push_back({ { "table", expected.at("table") }, { "part", row->second.part_ }, { "key", expected.at("key") }, { "value", encodeBase64(row->second.value_) }, { "ver", row->second.version_ } });
    }
    Json answer = stamp();
    if (!isMet) {
        answer["rows"] = std::move(current);
        return { 412, answer.dump() };
    }
    ++version_;
    for (const Json& row : json.value(wire::writes, Json::array()))
        write(keyOf(row), decodeBase64(row.at("value").get<std::string>()), false);
    for (const Json& row : json.value("remove", Json::array()))
        write(keyOf(row), {}, true);
    notify();
    for (const Json& row : json.value(wire::writes, Json::array())) {
        if (observer_ && row.at("table") == observedTable_)
            observer_(decodeBase64(row.at("value").get<std::string>()));
    }
    return { 200, stamp().dump() };
}

void Store::restoreRow(const std::string& table, const std::string& part, const std::string& key, const std::string& value)
{
    rows_[{ table, part, key }] = { part, value, ++version_, false };
}

void Store::refusePart(const std::string& part, std::int64_t untilMs)
{
    refusedPart_ = part;
    refusedUntilMs_ = untilMs;
}

std::string Store::valueOf(const std::string& table, const std::string& part, const std::string& key) const
{
    const auto row = rows_.find({ table, part, key });
    return row == rows_.end() ? std::string() : row->second.value_;
}

void Store::onWrite(const std::string& table, std::function<void(const std::string&)> action)
{
    observedTable_ = table;
    observer_ = std::move(action);
}

void Store::write(const RowKey& key, std::string value, bool isDeleted)
{
    const Row row { std::get<1>(key), std::move(value), version_, isDeleted };
    changes_.push_back({ version_, std::get<0>(key), std::get<2>(key), row });
    if (isDeleted)
        rows_.erase(key);
    else
        rows_[key] = row;
}

void Store::put(const std::string& table, const std::string& key, const Json& value)
{
    ++version_;
    write({ table, {}, key }, value.dump(), false);
    notify();
}

Answer Store::readRows(const std::map<std::string, std::string>& query)
{
    const auto text = [&query](const char* name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    const std::string table = text("table");
    const std::string part = text("part");
    const std::string to = text("target");
    Json answer = stamp();
    answer["rows"] = Json::array();
    answer["hasMore"] = false;
    std::size_t bytes = 0;
    for (auto row = rows_.lower_bound({ table, part, text("from") }); row != rows_.end(); ++row) {
        const auto& [rowTable, rowPart, key] = row->first;
        if (rowTable != table || rowPart != part || (!to.empty() && key >= to))
            break;
        if (answer["rows"].size() >= maxRowsPerPage || bytes > maxTransactionBytes) {
            answer["hasMore"] = true;
            break;
        }
        bytes += row->second.value_.size();
        answer["rows"].push_back({ { "table", table }, { "part", part }, { "key", key }, { "value", encodeBase64(row->second.value_) }, { "ver", row->second.version_ } });
    }
    return { 200, answer.dump() };
}

std::optional<Answer> Store::changesAfter(const std::string& table, std::uint64_t after) const
{
    Json rows = Json::array();
    const auto first = std::upper_bound(changes_.begin(), changes_.end(), after, [](std::uint64_t version, const Change& change) { return version < change.version_; });
    for (auto change = first; change != changes_.end(); ++change) {
        if (change->table_ != table)
            continue;
        Json row { { "table", table }, { "part", change->row_.part_ }, { "key", change->key_ }, { "ver", change->version_ } };
        if (change->row_.isDeleted_)
            row["deleted"] = true;
        else
            row["value"] = encodeBase64(change->row_.value_);
        rows.push_back(std::move(row));
    }
    if (rows.empty())
        return std::nullopt;
    Json answer = stamp();
    answer["rows"] = std::move(rows);
    return Answer { 200, answer.dump() };
}

void Store::watch(const std::map<std::string, std::string>& query, const Respond& respond)
{
    const std::string table = query.at("table");
    const std::uint64_t after = std::stoull(query.at("after"));
    const auto wait = query.find("waitMs");
    if (auto changes = changesAfter(table, after))
        return answerLater(readTime, [respond, changes = std::move(*changes)] { respond(changes); });
    const auto timer = std::make_shared<asio::steady_timer>(loop_, std::chrono::milliseconds(wait == query.end() ? 0 : std::stol(wait->second)));
    const auto isOpen = std::make_shared<bool>(true);
    watches_.push_back({ table, after, respond, timer, isOpen });
    const auto entry = std::prev(watches_.end());
    timer->async_wait([this, entry, isOpen](beast::error_code) {
        if (!*isOpen)
            return;
        const Respond pending = entry->respond_;
        watches_.erase(entry);
        Json answer = stamp();
        answer["rows"] = Json::array();
        pending({ 200, answer.dump() });
    });
}

void Store::notify()
{
    for (auto entry = watches_.begin(); entry != watches_.end();) {
        auto changes = changesAfter(entry->table_, entry->after_);
        if (!changes) {
            ++entry;
            continue;
        }
        answerLater(readTime, [respond = entry->respond_, changes = std::move(*changes)] { respond(changes); });
        *entry->isOpen_ = false;
        entry->timer_->cancel();
        entry = watches_.erase(entry);
    }
}

}
