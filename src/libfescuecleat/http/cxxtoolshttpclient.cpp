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
     * An idle connection is not reused after this time. The library does not
     * notice when the peer closes an idle connection, so this is well below the
     * idle timeout of servers.
     */
    constexpr Duration maxIdleTime = std::chrono::seconds(1);
    constexpr std::size_t chunkBytes = 16384;
    constexpr int statusNoContent = 204;
    /** Peers that support request ids echo this header in the response. */
    constexpr const char* requestIdHeader = "x-request-id";

    /** A connection and the state of the exchange on it. */
    class Connection : public cxxtools::Connectable {
    public:
        Connection(const Address& address, std::size_t maxBodyBytes)
            : client_(selector_, address.ip_, address.port_)
            , maxBodyBytes_(maxBodyBytes)
        {
            cxxtools::connect(client_.requestSent, *this, &Connection::onSent);
            cxxtools::connect(client_.headerReceived, *this, &Connection::onHeader);
            cxxtools::connect(client_.replyFinished, *this, &Connection::onFinished);
            cxxtools::connect(client_.bodyAvailable, *this, &Connection::onBody);
        }

        tl::expected<HttpResponse, TransportError> exchange(const HttpRequest& request, Time deadline)
        {
            begin();
            const auto id = request.headers_.find(requestIdHeader);
            requestId_ = id == request.headers_.end() ? std::string() : id->second;
            try {
                const cxxtools::http::Request raw = toLibraryRequest(request);
                client_.beginExecute(raw);
                waitUntilFinished(deadline);
                if (!isFinished_)
                    return cancelled();
                client_.endExecute();
            } catch (const std::exception& error) {
                return failure(error.what());
            }
            return takeResponse();
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
            error_.clear();
            body_.clear();
        }

        static cxxtools::http::Request toLibraryRequest(const HttpRequest& request)
        {
            std::string query;
            for (const auto& [name, value] : request.query_)
                query += (query.empty() ? "?" : "&") + percentEncode(name) + "=" + percentEncode(value);
            // The library sends only the URL and ignores separate query parameters.
            cxxtools::http::Request raw(request.path_ + query);
            raw.method(request.method_);
            for (const auto& [name, value] : request.headers_)
                raw.setHeader(name.c_str(), value.c_str());
            raw.body() << request.body_;
            return raw;
        }

        void waitUntilFinished(Time deadline)
        {
            while (!isFinished_ && error_.empty()) {
                const Duration timeLeft = remaining(deadline, monotonicNow());
                if (timeLeft == Duration::zero())
                    return;
                client_.wait(cxxtools::Milliseconds(static_cast<double>(timeLeft.count()) / 1000.0 + 1.0));
            }
        }

        tl::unexpected<TransportError> cancelled()
        {
            const std::string reason = error_.empty() ? "no complete response before the deadline" : error_;
            client_.cancel();
            return failure(reason);
        }

        tl::unexpected<TransportError> failure(const std::string& reason) const
        {
            // The library reports a failed connect before it signals that the request
            // was sent; a timeout in between must count as sent.
            const bool isNotSent = !isSent_ && isFinished_;
            return tl::unexpected<TransportError>(TransportError { isNotSent ? TransportFailure::NotSent : TransportFailure::NoAnswer, reason });
        }

        tl::expected<HttpResponse, TransportError> takeResponse()
        {
            const cxxtools::http::ReplyHeader& header = client_.header();
            HttpResponse response;
            response.status_ = static_cast<int>(header.httpReturnCode());
            for (const auto& [name, value] : header)
                response.headers_[toLowerCase(name)] = value;
            const bool hasLength = response.headers_.count("content-length") != 0;
            if (!hasLength && response.status_ != statusNoContent)
                return failure("response has no Content-Length");
            if (hasLength && header.contentLength() != body_.size())
                return failure("response is shorter than its Content-Length");
            response.body_ = std::move(body_);
            // After a response to another request, a further response may follow on
            // this connection, so it isn't reused.
            const auto echo = response.headers_.find(requestIdHeader);
            const bool isMismatched = !requestId_.empty() && (echo == response.headers_.end() || echo->second != requestId_);
            isReusable_ = header.keepAlive() && !isMismatched;
            return response;
        }

        static std::string toLowerCase(std::string text)
        {
            std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            return text;
        }

        void onSent(cxxtools::http::Client& /*client*/) { isSent_ = true; }

        void onHeader(cxxtools::http::Client& client)
        {
            if (client.header().chunkedTransferEncoding())
                error_ = "chunked responses are not supported";
            else if (client.header().contentLength() > maxBodyBytes_)
                error_ = "response is larger than " + std::to_string(maxBodyBytes_) + " bytes";
        }

        std::size_t onBody(cxxtools::http::Client& client)
        {
            char chunk[chunkBytes];
            const std::streamsize available = std::min<std::streamsize>(client.in().rdbuf()->in_avail(), sizeof chunk);
            const auto size = static_cast<std::size_t>(client.in().rdbuf()->sgetn(chunk, available));
            body_.append(chunk, size);
            if (body_.size() > maxBodyBytes_)
                error_ = "response is larger than " + std::to_string(maxBodyBytes_) + " bytes";
            return size;
        }

        void onFinished(cxxtools::http::Client& /*client*/) { isFinished_ = true; }

        cxxtools::Selector selector_;
        cxxtools::http::Client client_;
        std::size_t maxBodyBytes_;
        bool isSent_ = false;
        bool isFinished_ = false;
        bool isReusable_ = false;
        std::string requestId_;
        std::string error_;
        std::string body_;
        Time idleDeadline_;
    };

    using ConnectionPointer = std::unique_ptr<Connection>;

}

struct CxxtoolsHttpClient::Impl {
    /** Returns an idle connection to the address, or nullptr. */
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
        connection->setIdleDeadline(monotonicNow() + maxIdleTime);
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<ConnectionPointer>& idle = idle_[toString(address)];
        if (idle.size() < maxIdleConnections_)
            idle.push_back(std::move(connection));
    }

    /** Closes the idle connections to an address after one failed, since the others may be broken too. */
    void dropIdle(const Address& address)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        idle_.erase(toString(address));
    }

    std::size_t maxIdleConnections_;
    std::size_t maxBodyBytes_;
    std::mutex mutex_;
    std::map<std::string, std::vector<ConnectionPointer>> idle_;
};

CxxtoolsHttpClient::CxxtoolsHttpClient(std::size_t maxIdleConnections, std::size_t maxBodyBytes)
    : impl_(std::make_unique<Impl>())
{
    impl_->maxIdleConnections_ = maxIdleConnections;
    impl_->maxBodyBytes_ = maxBodyBytes;
}

CxxtoolsHttpClient::~CxxtoolsHttpClient() = default;

tl::expected<HttpResponse, TransportError> CxxtoolsHttpClient::send(const Address& address, const HttpRequest& request, Time deadline, bool mayReuse)
{
    if (remaining(deadline, monotonicNow()) == Duration::zero())
        return tl::unexpected<TransportError>(TransportError { TransportFailure::NotSent, "the deadline has passed" });
    ConnectionPointer connection = mayReuse ? impl_->takeIdle(address) : nullptr;
    if (!connection)
        connection = std::make_unique<Connection>(address, impl_->maxBodyBytes_);
    auto answer = connection->exchange(request, deadline);
    if (!answer)
        impl_->dropIdle(address);
    else if (mayReuse && connection->isReusable())
        impl_->keep(address, std::move(connection));
    return answer;
}

}
