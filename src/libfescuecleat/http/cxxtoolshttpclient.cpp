#include "http/cxxtoolshttpclient.h"

#include "http/percentencoding.h"

#include <algorithm>
#include <cctype>
#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>
#include <exception>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace fescuecleat {

namespace {

    /**
     * An idle connection is not used again after this time. The library does not
     * notice that the peer closed an idle connection, so it is kept well below
     * the idle time of servers.
     */
    constexpr Duration idleTime = std::chrono::seconds(1);
    constexpr std::size_t chunkBytes = 16384;
    constexpr int noContent = 204;
    /** Echoed by peers that answer requests with an id. */
    constexpr const char* idField = "x-request-id";

    /** One connection with the state of its exchange. */
    class Connection : public cxxtools::Connectable {
    public:
        Connection(const Address& address, std::size_t mostBytes)
            : client_(selector_, address.ip_, address.port_)
            , mostBytes_(mostBytes)
        {
            cxxtools::connect(client_.requestSent, *this, &Connection::onSent);
            cxxtools::connect(client_.headerReceived, *this, &Connection::onHeader);
            cxxtools::connect(client_.replyFinished, *this, &Connection::onFinished);
            cxxtools::connect(client_.bodyAvailable, *this, &Connection::onBody);
        }

        tl::expected<HttpResponse, TransportError> exchange(const HttpRequest& request, Time deadline)
        {
            begin();
            const auto id = request.headers_.find(idField);
            requestId_ = id == request.headers_.end() ? std::string() : id->second;
            try {
                const cxxtools::http::Request raw = converted(request);
                client_.beginExecute(raw);
                waitUntilFinished(deadline);
                if (!isFinished_)
                    return abandoned();
                client_.endExecute();
            } catch (const std::exception& error) {
                return lost(error.what());
            }
            return wholeAnswer();
        }

        bool isReusable() const { return isReusable_; }
        Time idleDeadline() const { return idleDeadline_; }
        void setIdleDeadline(Time deadline) { idleDeadline_ = deadline; }

    private:
        void begin()
        {
            isSent_ = false;
            isFinished_ = false;
            isReusable_ = false;
            fault_.clear();
            body_.clear();
        }

        static cxxtools::http::Request converted(const HttpRequest& request)
        {
            std::string query;
            for (const auto& [name, value] : request.query_)
                query += (query.empty() ? "?" : "&") + percentEncode(name) + "=" + percentEncode(value);
            // The library sends only the URL, not the separate query parameters.
            cxxtools::http::Request raw(request.path_ + query);
            raw.method(request.method_);
            for (const auto& [name, value] : request.headers_)
                raw.setHeader(name.c_str(), value.c_str());
            raw.body() << request.body_;
            return raw;
        }

        void waitUntilFinished(Time deadline)
        {
            while (!isFinished_ && fault_.empty()) {
                const Duration left = remaining(deadline, monotonicNow());
                if (left == Duration::zero())
                    return;
                client_.wait(cxxtools::Milliseconds(static_cast<double>(left.count()) / 1000.0 + 1.0));
            }
        }

        tl::unexpected<TransportError> abandoned()
        {
            const std::string why = fault_.empty() ? "no whole answer before the deadline" : fault_;
            client_.cancel();
            return lost(why);
        }

        tl::unexpected<TransportError> lost(const std::string& why) const
        {
            // The library reports a failed connect before it signals that the
            // request was sent; a time-out in between counts as sent.
            const bool isNotSent = !isSent_ && isFinished_;
            return tl::unexpected<TransportError>(TransportError { isNotSent ? TransportFailure::NotSent : TransportFailure::NoAnswer, why });
        }

        tl::expected<HttpResponse, TransportError> wholeAnswer()
        {
            const cxxtools::http::ReplyHeader& header = client_.header();
            HttpResponse response;
            response.status_ = static_cast<int>(header.httpReturnCode());
            for (const auto& [name, value] : header)
                response.headers_[lowered(name)] = value;
            const bool hasLength = response.headers_.count("content-length") != 0;
            if (!hasLength && response.status_ != noContent)
                return lost("answer has no Content-Length");
            if (hasLength && header.contentLength() != body_.size())
                return lost("answer is shorter than its Content-Length");
            response.body_ = std::move(body_);
            // A crossed or repeated answer leaves another one behind on the connection.
            const auto echo = response.headers_.find(idField);
            const bool isCrossed = !requestId_.empty() && (echo == response.headers_.end() || echo->second != requestId_);
            isReusable_ = header.keepAlive() && !isCrossed;
            return response;
        }

        static std::string lowered(std::string text)
        {
            std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            return text;
        }

        void onSent(cxxtools::http::Client& /*client*/) { isSent_ = true; }

        void onHeader(cxxtools::http::Client& client)
        {
            if (client.header().chunkedTransferEncoding())
                fault_ = "answer is chunked";
            else if (client.header().contentLength() > mostBytes_)
                fault_ = "answer is too large";
        }

        std::size_t onBody(cxxtools::http::Client& client)
        {
            char chunk[chunkBytes];
            const std::streamsize available = std::min<std::streamsize>(client.in().rdbuf()->in_avail(), sizeof chunk);
            const auto got = static_cast<std::size_t>(client.in().rdbuf()->sgetn(chunk, available));
            body_.append(chunk, got);
            if (body_.size() > mostBytes_)
                fault_ = "answer is too large";
            return got;
        }

        void onFinished(cxxtools::http::Client& /*client*/) { isFinished_ = true; }

        cxxtools::Selector selector_;
        cxxtools::http::Client client_;
        std::size_t mostBytes_;
        bool isSent_ = false;
        bool isFinished_ = false;
        bool isReusable_ = false;
        std::string requestId_;
        std::string fault_;
        std::string body_;
        Time idleDeadline_;
    };

    using ConnectionPointer = std::unique_ptr<Connection>;

}

struct CxxtoolsHttpClient::Impl {
    /** An idle connection to the address, or nullptr. */
    ConnectionPointer takeIdle(const Address& address)
    {
        const Time now = monotonicNow();
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<ConnectionPointer>& idle = idle_[toString(address)];
        while (!idle.empty()) {
            ConnectionPointer connection = std::move(idle.back());
            idle.pop_back();
            if (connection->idleDeadline() > now)
                return connection;
        }
        return nullptr;
    }

    void keep(const Address& address, ConnectionPointer connection)
    {
        connection->setIdleDeadline(monotonicNow() + idleTime);
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<ConnectionPointer>& idle = idle_[toString(address)];
        if (idle.size() < idleConnections_)
            idle.push_back(std::move(connection));
    }

    /** After one connection failed, the others to the same address are not trusted either. */
    void dropIdle(const Address& address)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        idle_.erase(toString(address));
    }

    std::size_t idleConnections_;
    std::size_t bodyBytes_;
    std::mutex mutex_;
    std::map<std::string, std::vector<ConnectionPointer>> idle_;
};

CxxtoolsHttpClient::CxxtoolsHttpClient(std::size_t idleConnections, std::size_t bodyBytes)
    : impl_(std::make_unique<Impl>())
{
    impl_->idleConnections_ = idleConnections;
    impl_->bodyBytes_ = bodyBytes;
}

CxxtoolsHttpClient::~CxxtoolsHttpClient() = default;

tl::expected<HttpResponse, TransportError> CxxtoolsHttpClient::send(const Address& address, const HttpRequest& request, Time deadline, bool mayReuse)
{
    if (remaining(deadline, monotonicNow()) == Duration::zero())
        return tl::unexpected<TransportError>(TransportError { TransportFailure::NotSent, "the deadline has passed" });
    ConnectionPointer connection = mayReuse ? impl_->takeIdle(address) : nullptr;
    if (!connection)
        connection = std::make_unique<Connection>(address, impl_->bodyBytes_);
    auto answer = connection->exchange(request, deadline);
    if (!answer)
        impl_->dropIdle(address);
    else if (mayReuse && connection->isReusable())
        impl_->keep(address, std::move(connection));
    return answer;
}

}
