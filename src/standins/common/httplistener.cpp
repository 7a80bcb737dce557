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

    constexpr int backlog = 128;
    /** How often a listener looks whether it is to refuse connections. */
    constexpr Duration refusalInterval = std::chrono::milliseconds(20);
    /** How long an answer waits for another one to be exchanged with. */
    constexpr Duration crossingTime = std::chrono::milliseconds(500);
    constexpr Duration endlessInterval = std::chrono::milliseconds(20);
    /** Ends an endless answer whose reader never gives up. */
    constexpr Duration endlessTime = std::chrono::minutes(2);

}

/** The first of two answers that are to be exchanged. */
struct HttpListener::Crossing {
    Reply reply_;
    HttpResponse response_;
};

/** One accepted connection. Requests on it are answered in order, one at a time. */
class HttpListener::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(HttpListener& listener, int socket)
        : listener_(listener)
        , socket_(socket)
        , opened_(monotonicNow())
    {
    }

    ~Connection() { ::close(socket_); }

    void begin() { watch(); }

    void abandon()
    {
        isClosed_ = true;
        listener_.loop_.unwatch(socket_);
    }

private:
    using Self = std::weak_ptr<Connection>;

    void watch()
    {
        if (isClosed_)
            return;
        // Not even the peer's close is noticed on a silent connection.
        if (isSilent_)
            return listener_.loop_.unwatch(socket_);
        listener_.loop_.watch(socket_, true, !output_.empty(), [self = Self(shared_from_this())] {
            if (const std::shared_ptr<Connection> connection = self.lock())
                connection->ready();
        });
    }

    void ready()
    {
        if (!flush() || !read())
            return;
        next();
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
        watch();
        return true;
    }

    /** Takes the next request if none is in progress. */
    void next()
    {
        if (isBusy_ || isSilent_ || isClosed_ || closesAfterOutput_)
            return;
        ParsedRequest parsed = parseRequest(input_);
        if (parsed.state_ == ParseState::Incomplete)
            return;
        if (parsed.state_ == ParseState::Invalid)
            return close();
        input_.erase(0, parsed.length_);
        if (listener_.traffic_)
            listener_.traffic_->countRequest(parsed.request_.path_, parsed.length_);
        isBusy_ = true;
        dispatch(parsed.request_);
    }

    void dispatch(const HttpRequest& request)
    {
        std::optional<Fault> fault;
        if (listener_.faults_)
            fault = listener_.faults_->pick(listener_.instance_, request.path_, opened_, monotonicNow());
        if (!fault)
            return pass(request, [self = Self(shared_from_this())](const HttpResponse& response) { answer(self, response); });
        play(*fault, request);
    }

    void pass(const HttpRequest& request, const Reply& reply) { listener_.endpoint_.handle(request, reply); }

    void play(const Fault& fault, const HttpRequest& request)
    {
        const Self self = shared_from_this();
        switch (fault.kind_) {
        case FaultKind::Delay:
            listener_.loop_.at(monotonicNow() + fault.delay_, [self, request] {
                if (const std::shared_ptr<Connection> connection = self.lock())
                    connection->pass(request, [self](const HttpResponse& response) { answer(self, response); });
            });
            return;
        case FaultKind::Fail:
            return answer(self, refusal(503, "unavailable", "the stand-in was told to fail"));
        case FaultKind::LoseAnswer:
            return pass(request, [self](const HttpResponse&) { finish(self, ""); });
        case FaultKind::Silent:
            isSilent_ = true;
            return watch();
        case FaultKind::Cross:
            return pass(request, [self](const HttpResponse& response) { cross(self, response); });
        case FaultKind::Duplicate:
            return pass(request, [self](const HttpResponse& response) { write(self, responseText(response) + responseText(response)); });
        case FaultKind::Truncate:
            return pass(request, [self](const HttpResponse& response) { finish(self, truncated(response)); });
        case FaultKind::Endless:
            return beginEndless();
        case FaultKind::Malformed:
            return finish(self, "HTTP/9.9 two hundred\r\n\x01\x02: \r\nContent-Length: -5\r\n\r\nzz");
        case FaultKind::Wrong:
            return answer(self, { 200, { { "x-request-id", "wrong" } }, "wrong" });
        case FaultKind::FailTasks:
        case FaultKind::Refuse:
            return;
        }
    }

    static std::string truncated(const HttpResponse& response)
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
            connection->next();
    }

    /** Writes what is left to say and closes. */
    static void finish(const Self& self, const std::string& text)
    {
        const std::shared_ptr<Connection> connection = self.lock();
        if (!connection || connection->isClosed_)
            return;
        connection->closesAfterOutput_ = true;
        connection->output_ += text;
        connection->flush();
    }

    /** Exchanges this answer with another one; gives it back unchanged if none comes. */
    static void cross(const Self& self, const HttpResponse& response)
    {
        const std::shared_ptr<Connection> connection = self.lock();
        if (!connection)
            return;
        HttpListener& listener = connection->listener_;
        const Reply reply = [self](const HttpResponse& other) { answer(self, other); };
        if (const std::shared_ptr<Crossing> first = std::exchange(listener.crossing_, nullptr)) {
            first->reply_(response);
            reply(first->response_);
            return;
        }
        listener.crossing_ = std::make_shared<Crossing>(Crossing { reply, response });
        listener.loop_.at(monotonicNow() + crossingTime, [&listener, waiting = listener.crossing_] {
            if (listener.crossing_ != waiting)
                return;
            listener.crossing_ = nullptr;
            waiting->reply_(waiting->response_);
        });
    }

    void beginEndless()
    {
        output_ += "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n";
        dribble(monotonicNow() + endlessTime);
    }

    void dribble(Time end)
    {
        output_ += 'x';
        if (!flush())
            return;
        if (monotonicNow() >= end)
            return close();
        listener_.loop_.at(monotonicNow() + endlessInterval, [self = Self(shared_from_this()), end] {
            const std::shared_ptr<Connection> connection = self.lock();
            if (connection && !connection->isClosed_)
                connection->dribble(end);
        });
    }

    void close()
    {
        if (isClosed_)
            return;
        abandon();
        // Callers on the stack still use this object.
        const std::shared_ptr<Connection> self = shared_from_this();
        listener_.connections_.erase(self);
        listener_.loop_.at(monotonicNow(), [self] {});
    }

    HttpListener& listener_;
    int socket_;
    Time opened_;
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
        loop_.every(refusalInterval, [this] { matchRefusal(); });
}

HttpListener::~HttpListener()
{
    for (const std::shared_ptr<Connection>& connection : connections_)
        connection->abandon();
    close();
}

void HttpListener::open()
{
    const auto fail = [this](const char* what) {
        throw std::runtime_error(std::string(what) + " " + address_.ip_ + ":" + std::to_string(address_.port_) + "; choose a free port of this machine");
    };
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in place {};
    place.sin_family = AF_INET;
    place.sin_port = htons(address_.port_);
    if (inet_pton(AF_INET, address_.ip_.c_str(), &place.sin_addr) != 1)
        fail("not an IP address:");
    if (bind(socket_, reinterpret_cast<const sockaddr*>(&place), sizeof place) != 0 || listen(socket_, backlog) != 0)
        fail("can't listen at");
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
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto connection = std::make_shared<Connection>(*this, accepted);
    connections_.insert(connection);
    connection->begin();
}

void HttpListener::matchRefusal()
{
    const bool refuses = faults_->refuses(instance_, monotonicNow());
    if (refuses)
        close();
    else if (socket_ < 0)
        open();
}

}
