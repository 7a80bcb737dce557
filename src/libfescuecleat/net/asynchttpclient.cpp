#include "net/asynchttpclient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace fescuecleat {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    /** A page of rows has at most 1 MB before encoding. */
    constexpr std::uint64_t maxAnswerBytes = 8ULL << 20;
    /** Idle connections kept per peer and connection group. */
    constexpr std::size_t maxIdleConnections = 4;

}

/** A connection to a peer; carries one call at a time. */
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    HttpConnection(AsyncHttpClient& client, AsyncHttpClient::Key key)
        : client_(&client)
        , alive_(client.alive_)
        , key_(std::move(key))
        , stream_(client.context_)
    {
    }

    void start(HttpCall call, Duration timeout, AsyncHttpClient::Handler handler)
    {
        handler_ = std::move(handler);
        request_ = {};
        request_.version(11);
        request_.method_string(call.method_);
        request_.target(call.target_);
        request_.set(http::field::host, toString(key_.first));
        for (const auto& [name, value] : call.headers_)
            request_.set(name, value);
        if (!call.body_.empty()) {
            request_.set(http::field::content_type, "application/json");
            request_.body() = std::move(call.body_);
        }
        request_.prepare_payload();
        parser_.emplace();
        parser_->body_limit(maxAnswerBytes);
        stream_.expires_after(timeout);
        if (isOpen_)
            return send();
        beast::error_code invalid;
        const asio::ip::tcp::endpoint peer(asio::ip::make_address_v4(key_.first.address_, invalid), key_.first.port_);
        if (invalid)
            return asio::post(client_->context_, [self = shared_from_this()] { self->finish(tl::unexpected<HttpFailure>(HttpFailure::NotSent)); });
        ++client_->connectionsOpened_;
        stream_.async_connect(peer, [self = shared_from_this()](beast::error_code error) {
            if (error)
                return self->finish(tl::unexpected<HttpFailure>(HttpFailure::NotSent));
            self->isOpen_ = true;
            beast::error_code ignored; // the option only improves latency
            self->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            self->send();
        });
    }

    void close()
    {
        isOpen_ = false;
        stream_.close();
    }

private:
    void send()
    {
        http::async_write(stream_, request_, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (error)
                return self->finish(tl::unexpected<HttpFailure>(HttpFailure::NoAnswer));
            self->receive();
        });
    }

    void receive()
    {
        http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (error)
                return self->finish(tl::unexpected<HttpFailure>(HttpFailure::NoAnswer));
            self->keepAlive_ = self->parser_->get().keep_alive();
            HttpAnswer answer { static_cast<int>(self->parser_->get().result_int()), std::move(self->parser_->get().body()) };
            self->finish(std::move(answer));
        });
    }

    void finish(tl::expected<HttpAnswer, HttpFailure> outcome)
    {
        const bool reusable = outcome.has_value() && keepAlive_;
        parser_.reset();
        request_.body().clear();
        stream_.expires_never();
        AsyncHttpClient::Handler handler = std::move(handler_);
        handler_ = nullptr;
        if (!*alive_)
            return;
        auto& idle = client_->idle_[key_];
        if (reusable && idle.size() < maxIdleConnections)
            idle.push_back(shared_from_this());
        else
            close();
        handler(std::move(outcome));
    }

    AsyncHttpClient* client_;
    std::shared_ptr<bool> alive_;
    AsyncHttpClient::Key key_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    AsyncHttpClient::Handler handler_;
    bool isOpen_ = false;
    bool keepAlive_ = false;
};

AsyncHttpClient::AsyncHttpClient(asio::io_context& context)
    : context_(context)
{
}

AsyncHttpClient::~AsyncHttpClient()
{
    *alive_ = false;
}

void AsyncHttpClient::call(const SocketAddress& endpoint, const std::string& connectionGroup, HttpCall call, Duration timeout, Handler handler)
{
    const Key key(endpoint, connectionGroup);
    auto& idle = idle_[key];
    std::shared_ptr<HttpConnection> connection;
    if (idle.empty()) {
        connection = std::make_shared<HttpConnection>(*this, key);
    } else {
        connection = std::move(idle.back());
        idle.pop_back();
    }
    connection->start(std::move(call), timeout, std::move(handler));
}

}
