#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct Answer {
    int status_ = 200;
    std::string body_ = "{}";
};

using Request = http::request<http::string_body>;
/** Called at most once for each request; a request that is never answered leaves its connection silent. */
using Respond = std::function<void(Answer)>;
using Handler = std::function<void(const Request&, Respond)>;

/** A small HTTP/1.1 server on a loopback address. All its callbacks run on the thread of the io_context. */
class HttpServer {
public:
    HttpServer(asio::io_context& loop, Handler handler)
        : loop_(loop)
        , acceptor_(loop)
        , handler_(std::move(handler))
    {
    }

    void listen(std::uint16_t port)
    {
        const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        accept();
    }

private:
    class Session : public std::enable_shared_from_this<Session> {
    public:
        Session(HttpServer& server, asio::ip::tcp::socket socket)
            : server_(server)
            , socket_(std::move(socket))
        {
        }

        void read()
        {
            parser_.emplace();
            parser_->body_limit(8 << 20);
            http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](beast::error_code error, std::size_t) {
                if (error)
                    return;
                self->server_.handler_(self->parser_->get(), [self](Answer answer) { self->write(std::move(answer)); });
            });
        }

    private:
        void write(Answer answer)
        {
            response_ = {};
            response_.version(11);
            response_.result(static_cast<unsigned>(answer.status_));
            response_.set(http::field::content_type, "application/json");
            response_.keep_alive(parser_->get().keep_alive());
            response_.body() = std::move(answer.body_);
            response_.prepare_payload();
            http::async_write(socket_, response_, [self = shared_from_this()](beast::error_code error, std::size_t) {
                if (!error)
                    self->read();
            });
        }

        HttpServer& server_;
        asio::ip::tcp::socket socket_;
        beast::flat_buffer buffer_;
        std::optional<http::request_parser<http::string_body>> parser_;
        http::response<http::string_body> response_;
    };

    void accept()
    {
        acceptor_.async_accept([this](beast::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            beast::error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            const auto session = std::make_shared<Session>(*this, std::move(socket));
            session->read();
            accept();
        });
    }

    asio::io_context& loop_;
    asio::ip::tcp::acceptor acceptor_;
    Handler handler_;
};

}
