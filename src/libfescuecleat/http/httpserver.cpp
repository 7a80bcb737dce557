#include "http/httpserver.h"

#include "http/httphandler.h"
#include "http/percentencoding.h"
#include "json/json.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cstdlib>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <exception>
#include <istream>
#include <ostream>
#include <thread>

namespace fescuecleat {

namespace {

    /** Library threads for idle connections, besides those that handle requests. */
    constexpr unsigned spareThreads = 2;
    constexpr std::size_t chunkBytes = 16384;

    const char* reasonPhrase(int status)
    {
        switch (status) {
        case 200:
            return "OK";
        case 202:
            return "Accepted";
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 403:
            return "Forbidden";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 409:
            return "Conflict";
        case 411:
            return "Length Required";
        case 413:
            return "Payload Too Large";
        case 429:
            return "Too Many Requests";
        case 500:
            return "Internal Server Error";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return status < 300 ? "OK" : "Error";
        }
    }

    std::string toLowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return text;
    }

    HttpResponse errorResponse(int status, ErrorKind kind, const std::string& message, const std::string& remedy)
    {
        JsonValue body = jsonObject();
        body.addValue("kind", std::string(errorKindName(kind)));
        body.addValue("message", message);
        body.addValue("remedy", remedy);
        HttpResponse response;
        response.status_ = status;
        response.headers_["content-type"] = "application/json";
        response.headers_["connection"] = "close";
        response.body_ = writeJson(body);
        return response;
    }

    /** Body length given by the header, or the error response if the framing is invalid. */
    class Framing {
    public:
        explicit Framing(const cxxtools::http::RequestHeader& header, std::size_t maxBodyBytes)
        {
            int lengths = 0;
            for (const auto& field : header) {
                const std::string name = toLowerCase(field.first);
                if (name == "transfer-encoding") {
                    refuse(411, ErrorKind::Unsupported, "chunked bodies are not supported", "send a Content-Length");
                    return;
                }
                if (name != "content-length")
                    continue;
                if (++lengths > 1) {
                    refuse(400, ErrorKind::InvalidSyntax, "the request has more than one Content-Length", "send it once");
                    return;
                }
                if (!parseLength(field.second, maxBodyBytes))
                    return;
            }
        }

        std::size_t length() const { return length_; }
        bool isRefused() const { return isRefused_; }
        const HttpResponse& response() const { return response_; }

    private:
        bool parseLength(const std::string& value, std::size_t maxBodyBytes)
        {
            const bool isNumber = !value.empty() && value.size() < 16 && std::all_of(value.begin(), value.end(), [](unsigned char c) { return std::isdigit(c); });
            if (!isNumber) {
                refuse(400, ErrorKind::InvalidSyntax, "Content-Length is not a number of at most 15 digits", "send the number of body bytes");
                return false;
            }
            length_ = std::strtoull(value.c_str(), nullptr, 10);
            if (length_ > maxBodyBytes) {
                refuse(413, ErrorKind::TooLarge, "request body is larger than " + std::to_string(maxBodyBytes) + " bytes", "send a smaller body");
                return false;
            }
            return true;
        }

        void refuse(int status, ErrorKind kind, const std::string& message, const std::string& remedy)
        {
            isRefused_ = true;
            response_ = errorResponse(status, kind, message, remedy);
        }

        std::size_t length_ = 0;
        bool isRefused_ = false;
        HttpResponse response_;
    };

    /** Thrown to make the library send an error response and close the connection. */
    class RefusedRequest : public std::exception {
    public:
        const char* what() const noexcept override { return "request refused"; }
    };

    struct SharedState {
        HttpHandler& handler_;
        HttpServerLimits limits_;
        std::atomic<int> inProgress_ { 0 };
    };

    class Responder : public cxxtools::http::Responder {
    public:
        Responder(cxxtools::http::Service& service, SharedState& shared)
            : cxxtools::http::Responder(service)
            , shared_(shared)
        {
        }

        void beginRequest(cxxtools::net::TcpSocket& /*socket*/, std::istream& /*in*/, cxxtools::http::Request& request) override
        {
            body_.clear();
            const Framing framing(request.header(), shared_.limits_.maxBodyBytes_);
            bodyLength_ = framing.length();
            if (!framing.isRefused())
                return;
            errorResponse_ = framing.response();
            throw RefusedRequest();
        }

        std::size_t readBody(std::istream& in) override
        {
            char chunk[chunkBytes];
            std::size_t total = 0;
            while (in.rdbuf()->in_avail() > 0) {
                const auto available = static_cast<std::size_t>(in.rdbuf()->in_avail());
                const std::size_t limit = std::min({ available, sizeof chunk, bodyLength_ - body_.size() });
                if (limit == 0)
                    break;
                const auto size = static_cast<std::size_t>(in.rdbuf()->sgetn(chunk, static_cast<std::streamsize>(limit)));
                body_.append(chunk, size);
                total += size;
            }
            return total;
        }

        void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override
        {
            ++shared_.inProgress_;
            write(out, reply, handleRequest(request));
            --shared_.inProgress_;
        }

        void replyError(std::ostream& out, cxxtools::http::Request& /*request*/, cxxtools::http::Reply& reply, const std::exception& error) override
        {
            if (dynamic_cast<const RefusedRequest*>(&error))
                write(out, reply, errorResponse_);
            else
                write(out, reply, errorResponse(400, ErrorKind::InvalidSyntax, "request is malformed", "send a well-formed HTTP request"));
        }

    private:
        HttpResponse handleRequest(const cxxtools::http::Request& raw)
        {
            HttpRequest request;
            request.method_ = raw.method();
            request.path_ = percentDecode(raw.url());
            request.query_ = parseQuery(raw.qparams());
            for (const auto& field : raw.header())
                request.headers_[toLowerCase(field.first)] = field.second;
            request.body_ = std::move(body_);
            body_.clear();
            try {
                return shared_.handler_.handle(request);
            } catch (const std::exception& error) {
                return errorResponse(500, ErrorKind::Internal, error.what(), "report this with the state dump");
            }
        }

        static void write(std::ostream& out, cxxtools::http::Reply& reply, const HttpResponse& response)
        {
            reply.httpReturn(static_cast<unsigned>(response.status_), reasonPhrase(response.status_));
            for (const auto& [name, value] : response.headers_)
                reply.setHeader(name.c_str(), value.c_str());
            out << response.body_;
        }

        SharedState& shared_;
        std::size_t bodyLength_ = 0;
        std::string body_;
        HttpResponse errorResponse_;
    };

    class Service : public cxxtools::http::Service {
    public:
        explicit Service(SharedState& shared)
            : shared_(shared)
        {
        }

    protected:
        cxxtools::http::Responder* createResponder(const cxxtools::http::Request& /*request*/) override { return new Responder(*this, shared_); }
        void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

    private:
        SharedState& shared_;
    };

    cxxtools::Milliseconds toMilliseconds(Duration duration)
    {
        return cxxtools::Milliseconds(static_cast<double>(duration.count()) / 1000.0);
    }

}

struct HttpServer::Impl {
    Impl(const Address& address, HttpHandler& handler, const HttpServerLimits& limits)
        : shared_ { handler, limits }
        , service_(shared_)
        , server_(loop_)
    {
        server_.minThreads(std::min(limits.threads_, 4U) + spareThreads);
        server_.maxThreads(limits.threads_ + spareThreads);
        server_.readTimeout(toMilliseconds(limits.readTimeout_));
        server_.keepAliveTimeout(toMilliseconds(limits.idleTimeout_));
        server_.addService(cxxtools::Regex(".*"), service_);
        server_.listen(address.ip_, address.port_, limits.tlsCertificate_, limits.tlsPrivateKey_);
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~Impl()
    {
        loop_.exit();
        thread_.join();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    SharedState shared_;
    Service service_;
    cxxtools::EventLoop loop_;
    cxxtools::http::Server server_;
    std::thread thread_;
};

HttpServer::HttpServer(const Address& address, HttpHandler& handler, const HttpServerLimits& limits)
    : impl_(std::make_unique<Impl>(address, handler, limits))
{
}

HttpServer::~HttpServer() = default;

int HttpServer::requestsInProgress() const
{
    return impl_->shared_.inProgress_;
}

}
