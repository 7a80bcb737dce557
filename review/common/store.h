#pragma once

#include "httpserver.h"
#include "record.h"

#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

namespace review {

using Json = nlohmann::json;

std::string encodeBase64(const std::string& bytes);
std::string decodeBase64(const std::string& text);

/** Stand-in of the platform's store: transactions, reads and the feed as PROTOCOL.md describes them. */
class Store {
public:
    /** Figures of a small site, as its processes read them in their settings. */
    static constexpr std::size_t rowBytes = 65536;
    static constexpr std::size_t maxEntries = 100;
    static constexpr std::size_t maxTransactionBytes = 1 << 20;
    static constexpr std::size_t maxRowsPerPage = 500;
    static constexpr auto transactionTime = std::chrono::milliseconds(5);
    static constexpr auto readTime = std::chrono::milliseconds(4);

    Store(asio::io_context&, Record&);

    void listen(std::uint16_t port) { server_.listen(port); }
    /** Writes by the operator and the minions, which don't go through the interface. */
    void put(const std::string& table, const std::string& key, const Json& value);

    /** Puts a row there that earlier traffic has left; nobody follows the table yet. */
    void restoreRow(const std::string& table, const std::string& part, const std::string& key, const std::string& value);
    /** Reads and transactions of this part are answered 503 until `untilMs`; the others are served. */
    void refusePart(const std::string& part, std::int64_t untilMs);
    /** The value of a row, or nothing if it doesn't exist. */
    std::string valueOf(const std::string& table, const std::string& part, const std::string& key) const;
    /** Is called after each transaction that wrote a row of the table, with the row's value. */
    void onWrite(const std::string& table, std::function<void(const std::string& value)> action);

    /** Writes that refuse `text` are answered 400; counts them. */
    int refusedForSize() const { return refusedForSize_; }

private:
    struct Row {
        std::string part_;
        std::string value_;
        std::uint64_t version_ = 0;
        bool isDeleted_ = false;
    };
    struct Change {
        std::uint64_t version_ = 0;
        std::string table_;
        std::string key_;
        Row row_;
    };
    struct Watch {
        std::string table_;
        std::uint64_t after_ = 0;
        Respond respond_;
        std::shared_ptr<asio::steady_timer> timer_;
        std::shared_ptr<bool> isOpen_;
    };
    using RowKey = std::tuple<std::string, std::string, std::string>; // table, part, key

    void handle(const Request&, const Respond&);
    void commit(const std::string& body, const Respond&);
    Answer apply(const Json&);
    bool isRefused(const std::string& part) const { return part == refusedPart_ && elapsedMs() < refusedUntilMs_; }
    void write(const RowKey&, std::string value, bool isDeleted);
    Answer readRows(const std::map<std::string, std::string>& query);
    void watch(const std::map<std::string, std::string>& query, const Respond&);
    std::optional<Answer> changesAfter(const std::string& table, std::uint64_t after) const;
    void notify();
    Json stamp() const;
    void answerLater(std::chrono::milliseconds delay, std::function<void()>);

    asio::io_context& loop_;
    Record& record_;
    HttpServer server_;
    std::map<RowKey, Row> rows_;
    std::vector<Change> changes_;
    std::list<Watch> watches_;
    std::uint64_t version_ = 0;
    int refusedForSize_ = 0;
    std::string refusedPart_;
    std::int64_t refusedUntilMs_ = 0;
    std::string observedTable_;
    std::function<void(const std::string&)> observer_;
};

}
