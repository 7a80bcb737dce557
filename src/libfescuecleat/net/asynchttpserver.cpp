#include "net/asynchttpserver.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace fescuecleat {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    /** Delay before accepting again after an error, such as a lack of file descriptors. */
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

    int statusOfReadError(const beast::error_code& error)
    {
        if (error == http::error::header_limit)
            return 431;
        if (error == http::error::body_limit)
            return 413;
        if (error == beast::error::timeout)
            return 408;
        return 400;
    }

}

/** A client's connection; its requests are answered in order. */
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    HttpSession(AsyncHttpServer& server, asio::ip::tcp::socket socket)
        : server_(&server)
        , alive_(server.alive_)
        , stream_(std::move(socket))
    {
    }

    void awaitRequest()
    {
        parser_.emplace();
        parser_->header_limit(server_->limits_.maxHeaderBytes_);
        parser_->body_limit(server_->limits_.maxBodyBytes_);
        isIdle_ = true;
        if (server_->isDraining_)
            return close();
        stream_.expires_after(server_->limits_.idleTimeout_);
        if (buffer_.size() > 0)
            return readRequest();
        // Waits for the first byte separately, so that an idle connection is closed without an answer.
        stream_.async_read_some(buffer_.prepare(readChunkBytes), [self = shared_from_this()](beast::error_code error, std::size_t size) {
            if (error)
                return self->close();
            self->buffer_.commit(size);
            self->readRequest();
        });
    }

    void closeIfIdle()
    {
        if (isIdle_)
            stream_.cancel();
    }

private:
    static constexpr std::size_t readChunkBytes = 4096;

    /** The answer to a request. The client gets a 500 if it is dropped, as by an exception in the handler. */
    class OwedAnswer {
    public:
        explicit OwedAnswer(std::shared_ptr<HttpSession> session)
            : session_(std::move(session))
        {
        }
        ~OwedAnswer()
        {
            if (!session_ || !*session_->alive_)
                return;
            asio::post(session_->stream_.get_executor(), [session = session_] {
                session->answer({ 500, R"({"error":"internal error"})", {}, "application/json" });
            });
        }
        OwedAnswer(const OwedAnswer&) = delete;
        OwedAnswer& operator=(const OwedAnswer&) = delete;

        void give(ServerResponse response)
        {
            if (const auto session = std::exchange(session_, nullptr))
                session->answer(std::move(response));
        }

    private:
        std::shared_ptr<HttpSession> session_;
    };

    void readRequest()
    {
        isIdle_ = false;
        stream_.expires_after(server_->limits_.requestTimeout_);
        http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (!*self->alive_)
                return;
            if (error)
                return self->refuse(error);
            self->handle();
        });
    }

    void refuse(const beast::error_code& error)
    {
        if (error == http::error::end_of_stream || error == http::error::partial_message || !error.category().name()
            || error == asio::error::connection_reset || error == asio::error::operation_aborted)
            return close();
        keepAlive_ = false;
        write({ statusOfReadError(error), R"({"error":"the request can't be read: )" + error.message() + "\"}", {}, "application/json" });
    }

    void handle()
    {
        stream_.expires_never();
        auto& message = parser_->get();
        keepAlive_ = message.keep_alive();
        ServerRequest request;
        request.method_ = std::string(message.method_string());
        request.path_ = std::string(message.target());
        request.host_ = std::string(message[http::field::host]);
        request.authorization_ = std::string(message[http::field::authorization]);
        for (const auto& field : message)
            request.headers_.emplace_back(std::string(field.name_string()), std::string(field.value()));
        request.body_ = std::move(message.body());
        ++server_->requestsInProgress_;
        server_->handler_(std::move(request), [owed = std::make_shared<OwedAnswer>(shared_from_this())](ServerResponse response) { owed->give(std::move(response)); });
    }

    void answer(ServerResponse response)
    {
        if (!*alive_)
            return;
        --server_->requestsInProgress_;
        if (response.status_ == 0)
            return close();
        write(std::move(response));
    }

    void write(ServerResponse answer)
    {
        const bool closesAfterwards = !keepAlive_ || server_->isDraining_;
        response_ = {};
        response_.version(11);
        response_.result(static_cast<unsigned>(answer.status_));
        response_.keep_alive(!closesAfterwards);
        for (const auto& [name, value] : answer.headers_)
            response_.set(name, value);
        response_.set(http::field::content_type, answer.contentType_);
        response_.body() = std::move(answer.body_);
        response_.prepare_payload();
        stream_.expires_after(server_->limits_.idleTimeout_);
        http::async_write(stream_, response_, [self = shared_from_this(), closesAfterwards](beast::error_code error, std::size_t) {
            if (!*self->alive_)
                return;
            if (error || closesAfterwards)
                return self->close();
            self->awaitRequest();
        });
    }

    void close()
    {
        if (!*alive_)
            return;
        beast::error_code ignored; // the peer may have closed the connection already
        stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        stream_.close();
        server_->sessions_.erase(shared_from_this());
    }

    AsyncHttpServer* server_;
    std::shared_ptr<bool> alive_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    bool keepAlive_ = false;
    bool isIdle_ = false;
};

AsyncHttpServer::AsyncHttpServer(asio::io_context& context, Handler handler)
    : context_(context)
    , acceptor_(context)
    , handler_(std::move(handler))
{
}

AsyncHttpServer::~AsyncHttpServer()
{
    *alive_ = false;
}

Result<void> AsyncHttpServer::listen(const SocketAddress& endpoint)
{
    const asio::ip::tcp::endpoint local(asio::ip::make_address_v4(endpoint.address_), endpoint.port_);
    beast::error_code error;
    acceptor_.open(local.protocol(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(local, error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return failure(ErrorKind::Unavailable, "can't listen on " + toString(endpoint) + ": " + error.message(), "free the address or configure another one");
    accept();
    return {};
}

void AsyncHttpServer::accept()
{
    acceptor_.async_accept([this, alive = alive_](beast::error_code error, asio::ip::tcp::socket socket) {
        if (!*alive || error == asio::error::operation_aborted)
            return;
        if (error) {
            auto timer = std::make_shared<asio::steady_timer>(context_, acceptRetryDelay);
            timer->async_wait([this, alive, timer](beast::error_code) {
                if (*alive && acceptor_.is_open())
                    accept();
            });
            return;
        }
        if (sessions_.size() < limits_.maxConnections_) {
            beast::error_code ignored; // the option only improves latency
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            auto session = std::make_shared<HttpSession>(*this, std::move(socket));
            sessions_.insert(session);
            session->awaitRequest();
        }
        accept();
    });
}

void AsyncHttpServer::drain()
{
    isDraining_ = true;
    for (const auto& session : std::set<std::shared_ptr<HttpSession>>(sessions_))
        session->closeIfIdle();
}

void AsyncHttpServer::stopListening()
{
    beast::error_code ignored; // the acceptor may be closed already
    acceptor_.close(ignored);
}

}
