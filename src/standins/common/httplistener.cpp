#include "standins/common/httplistener.h"

#include "standins/common/httptext.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace fescuecleat::standins {

namespace {

    constexpr int maxPendingConnections = 128;
    /** Interval at which a listener checks whether it has to refuse connections. */
    constexpr Duration refusalCheckInterval = std::chrono::milliseconds(20);
    /** How long a response waits for another one to be swapped with. */
    constexpr Duration swapTimeout = std::chrono::milliseconds(500);
    constexpr Duration endlessByteInterval = std::chrono::milliseconds(20);
    /** An endless response ends after this time even if the reader stays connected. */
    constexpr Duration maxEndlessDuration = std::chrono::minutes(2);

}

/** A response that waits to be swapped with the next one. */
struct HttpListener::PendingSwap {
    Reply reply_;
    HttpResponse response_;
};

/** One accepted connection. Its requests are handled in order, one at a time. */
class HttpListener::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(HttpListener& listener, int socket)
        : listener_(listener)
        , socket_(socket)
        , openedAt_(monotonicNow())
    {
    }

    ~Connection() { ::close(socket_); }

    void start() { updateWatch(); }

    void detach()
    {
        isClosed_ = true;
        listener_.loop_.unwatch(socket_);
    }

private:
    using Self = std::weak_ptr<Connection>;

    void updateWatch()
    {
        if (isClosed_)
            return;
        // A silent connection doesn't even notice when the peer closes it.
        if (isSilent_)
            return listener_.loop_.unwatch(socket_);
        listener_.loop_.watch(socket_, true, !output_.empty(), [self = Self(shared_from_this())] {
            if (const std::shared_ptr<Connection> connection = self.lock())
                connection->onReady();
        });
    }

    void onReady()
    {
        if (!flush() || !read())
            return;
        handleNext();
    }

    bool read()
    {
        std::array<char, 16384> buffer {};
        while (true) {
            const ssize_t count = recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (count > 0) {
                input_.append(buffer.data(), static_cast<std::size_t>(count));
                continue;
            }
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0 && errno == EAGAIN)
                return true;
            close();
            return false;
        }
    }

    bool flush()
    {
        while (!output_.empty()) {
            const ssize_t count = ::send(socket_, output_.data(), output_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            if (count > 0) {
                output_.erase(0, static_cast<std::size_t>(count));
                continue;
            }
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0 && errno == EAGAIN)
                break;
            close();
            return false;
        }
        if (output_.empty() && closesAfterOutput_) {
            close();
            return false;
        }
        updateWatch();
        return true;
    }

    /** Handles the next request if none is in progress. */
    void handleNext()
    {
        if (isBusy_ || isSilent_ || isClosed_ || closesAfterOutput_)
            return;
        ParsedRequest parsed = parseRequest(input_);
        if (parsed.state_ == ParseState::Incomplete)
            return;
        if (parsed.state_ == ParseState::Invalid)
            return close();
        input_.erase(0, parsed.sizeBytes_);
        if (listener_.traffic_)
            listener_.traffic_->countRequest(parsed.request_.path_, parsed.sizeBytes_);
        isBusy_ = true;
        dispatch(parsed.request_);
    }

    void dispatch(const HttpRequest& request)
    {
        std::optional<Fault> fault;
        if (listener_.faults_)
            fault = listener_.faults_->select(listener_.instance_, request.path_, openedAt_, monotonicNow());
        if (!fault)
            return forward(request, [self = Self(shared_from_this())](const HttpResponse& response) { answer(self, response); });
        inject(*fault, request);
    }

    void forward(const HttpRequest& request, const Reply& reply) { listener_.endpoint_.handle(request, reply); }

    void inject(const Fault& fault, const HttpRequest& request)
    {
        const Self self = shared_from_this();
        switch (fault.kind_) {
        case FaultKind::Delay:
            listener_.loop_.runAt(monotonicNow() + fault.delay_, [self, request] {
                if (const std::shared_ptr<Connection> connection = self.lock())
                    connection->forward(request, [self](const HttpResponse& response) { answer(self, response); });
            });
            return;
        case FaultKind::Fail:
            return answer(self, errorResponse(503, "unavailable", "injected fault"));
        case FaultKind::LoseAnswer:
            return forward(request, [self](const HttpResponse&) { writeAndClose(self, ""); });
        case FaultKind::Silent:
            isSilent_ = true;
            return updateWatch();
        case FaultKind::Cross:
            return forward(request, [self](const HttpResponse& response) { swapResponse(self, response); });
        case FaultKind::Duplicate:
            return forward(request, [self](const HttpResponse& response) { write(self, responseText(response) + responseText(response)); });
        case FaultKind::Truncate:
            return forward(request, [self](const HttpResponse& response) { writeAndClose(self, truncatedText(response)); });
        case FaultKind::Endless:
            return startEndlessResponse();
        case FaultKind::Malformed:
            return writeAndClose(self, "HTTP/9.9 two hundred\r\n\x01\x02: \r\nContent-Length: -5\r\n\r\nzz");
        case FaultKind::Wrong:
            return answer(self, { 200, { { "x-request-id", "wrong" } }, "wrong" });
        case FaultKind::FailTasks:
        case FaultKind::Refuse:
            return;
        }
    }

    static std::string truncatedText(const HttpResponse& response)
    {
        const std::string text = responseText(response);
        return text.substr(0, text.size() - (response.body_.size() + 1) / 2);
    }

    static void answer(const Self& self, const HttpResponse& response) { write(self, responseText(response)); }

    static void write(const Self& self, const std::string& text)
    {
        const std::shared_ptr<Connection> connection = self.lock();
        if (!connection || connection->isClosed_)
            return;
        connection->isBusy_ = false;
        connection->output_ += text;
        if (connection->listener_.traffic_)
            connection->listener_.traffic_->countResponse(text.size());
        if (connection->flush())
            connection->handleNext();
    }

    /** Writes the text and then closes the connection. */
    static void writeAndClose(const Self& self, const std::string& text)
    {
        const std::shared_ptr<Connection> connection = self.lock();
        if (!connection || connection->isClosed_)
            return;
        connection->closesAfterOutput_ = true;
        connection->output_ += text;
        connection->flush();
    }

    /** Swaps this response with the next one; sends it unchanged if none comes in time. */
    static void swapResponse(const Self& self, const HttpResponse& response)
    {
        const std::shared_ptr<Connection> connection = self.lock();
        if (!connection)
            return;
        HttpListener& listener = connection->listener_;
        const Reply reply = [self](const HttpResponse& other) { answer(self, other); };
        if (const std::shared_ptr<PendingSwap> first = std::exchange(listener.pendingSwap_, nullptr)) {
            first->reply_(response);
            reply(first->response_);
            return;
        }
        listener.pendingSwap_ = std::make_shared<PendingSwap>(PendingSwap { reply, response });
        listener.loop_.runAt(monotonicNow() + swapTimeout, [&listener, pending = listener.pendingSwap_] {
            if (listener.pendingSwap_ != pending)
                return;
            listener.pendingSwap_ = nullptr;
            pending->reply_(pending->response_);
        });
    }

    void startEndlessResponse()
    {
        output_ += "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n";
        sendEndlessByte(monotonicNow() + maxEndlessDuration);
    }

    void sendEndlessByte(Time end)
    {
        output_ += 'x';
        if (!flush())
            return;
        if (monotonicNow() >= end)
            return close();
        listener_.loop_.runAt(monotonicNow() + endlessByteInterval, [self = Self(shared_from_this()), end] {
            const std::shared_ptr<Connection> connection = self.lock();
            if (connection && !connection->isClosed_)
                connection->sendEndlessByte(end);
        });
    }

    void close()
    {
        if (isClosed_)
            return;
        detach();
        // Callers on the stack still use this object, so the loop destroys it.
        const std::shared_ptr<Connection> self = shared_from_this();
        listener_.connections_.erase(self);
        listener_.loop_.runAt(monotonicNow(), [self] {});
    }

    HttpListener& listener_;
    int socket_;
    Time openedAt_;
    std::string input_;
    std::string output_;
    bool isBusy_ = false;
    bool isSilent_ = false;
    bool isClosed_ = false;
    bool closesAfterOutput_ = false;
};

HttpListener::HttpListener(EventLoop& loop, Address address, Endpoint& endpoint, FaultSet* faults, std::string instance, Traffic* traffic)
    : loop_(loop)
    , address_(std::move(address))
    , endpoint_(endpoint)
    , faults_(faults)
    , instance_(std::move(instance))
    , traffic_(traffic)
{
    open();
    if (faults_)
        loop_.runEvery(refusalCheckInterval, [this] { updateListening(); });
}

HttpListener::~HttpListener()
{
    for (const std::shared_ptr<Connection>& connection : connections_)
        connection->detach();
    close();
}

void HttpListener::open()
{
    const auto fail = [this](const char* what) {
        throw std::runtime_error(std::string(what) + " " + address_.ip_ + ":" + std::to_string(address_.port_) + "; configure a free port of this machine");
    };
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int enabled = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in socketAddress {};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(address_.port_);
    if (inet_pton(AF_INET, address_.ip_.c_str(), &socketAddress.sin_addr) != 1)
        fail("invalid IP address in");
    if (bind(socket_, reinterpret_cast<const sockaddr*>(&socketAddress), sizeof socketAddress) != 0 || listen(socket_, maxPendingConnections) != 0)
        fail("can't listen on");
    loop_.watch(socket_, true, false, [this] { accept(); });
}

void HttpListener::close()
{
    if (socket_ < 0)
        return;
    loop_.unwatch(socket_);
    ::close(socket_);
    socket_ = -1;
}

void HttpListener::accept()
{
    const int accepted = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (accepted < 0)
        return;
    const int enabled = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    const auto connection = std::make_shared<Connection>(*this, accepted);
    connections_.insert(connection);
    connection->start();
}

void HttpListener::updateListening()
{
    const bool isRefusing = faults_->refusesConnections(instance_, monotonicNow());
    if (isRefusing)
        close();
    else if (socket_ < 0)
        open();
}

}
