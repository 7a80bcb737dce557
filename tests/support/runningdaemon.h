#pragma once

#include "auth/keyhash.h"
#include "http/cxxtoolshttpclient.h"
#include "settings/settings.h"
#include "support/ports.h"
#include "support/process.h"
#include "json/json.h"

#include <cstdio>
#include <cxxtools/net/tcpsocket.h>
#include <fstream>
#include <memory>
#include <string>

namespace fescuecleat::test {

/** A platform stand-in and one fescuecleatd whose configuration has two organisations. */
class RunningDaemon {
public:
    /** `moreSettings` are further sections of the settings. With a "tls" section no configuration is applied. */
    explicit RunningDaemon(const std::string& moreSettings = {})
        : operatorKey_(createKey())
        , duomoKey_(createKey())
        , studioKey_(createKey())
        , callerAddress_(freeAddress())
        , operatorAddress_(freeAddress())
        , settingsName_("runningdaemon-" + std::to_string(callerAddress_.port_) + ".json")
    {
        const Address platform = freeAddress();
        std::ofstream(settingsName_) << settingsText(platform, moreSettings);
        platform_ = std::make_unique<Process>("fescuecleat-standin-platform", std::vector<std::string> { "--address", toString(platform), "--fault-address", toString(freeAddress()) });
        if (!waitUntil([&] { return isListening(platform); }))
            throw std::runtime_error("the platform stand-in did not start");
        daemon_ = std::make_unique<Process>("fescuecleatd", std::vector<std::string> { "--settings", settingsName_ });
        const bool isTls = moreSettings.find("\"tls\"") != std::string::npos;
        if (!waitUntil([&] { return isListening(operatorAddress_) && isListening(callerAddress_); }))
            throw std::runtime_error("the daemon did not start");
        if (isTls)
            return;
        if (!waitUntilReady(operatorAddress_, "/health"))
            throw std::runtime_error("the daemon did not start");
        configure();
    }

    ~RunningDaemon() { std::remove(settingsName_.c_str()); }

    RunningDaemon(const RunningDaemon&) = delete;
    RunningDaemon& operator=(const RunningDaemon&) = delete;

    const Address& callerAddress() const { return callerAddress_; }
    const Address& operatorAddress() const { return operatorAddress_; }
    const std::string& operatorKey() const { return operatorKey_.key_; }
    const std::string& duomoKey() const { return duomoKey_.key_; }
    const std::string& studioKey() const { return studioKey_.key_; }

    /** Stops the daemon with SIGTERM and returns its exit status. */
    int stop() { return daemon_->stop(); }

    HttpResponse send(const Address& address, const std::string& method, const std::string& path, const std::string& key, const std::string& body = {}) const
    {
        HttpRequest request;
        request.method_ = method;
        request.path_ = path;
        if (!key.empty())
            request.headers_["authorization"] = "Bearer " + key;
        request.body_ = body;
        CxxtoolsHttpClient client;
        const auto response = client.send(address, request, monotonicNow() + std::chrono::seconds(10), false);
        if (!response)
            throw std::runtime_error("no response to " + method + " " + path + ": " + response.error().message_);
        return *response;
    }

private:
    static bool isListening(const Address& address)
    {
        try {
            const cxxtools::net::TcpSocket socket(address.ip_, address.port_);
            return true;
        } catch (const std::exception&) {
            return false;
        }
    }

    std::string configurationText() const
    {
        return R"("data_centre": {"workers": 2, "workers_per_rack": 2, "accelerators_per_worker": 8}, "operators": {"keys": [")" + toString(operatorKey_.hash_)
            + R"("]}, "organisations": {"duomo": {"keys": [")" + toString(duomoKey_.hash_) + R"("]}, "studio": {"keys": [")" + toString(studioKey_.hash_) + R"("]}}, "services": {"rilievo": {}})";
    }

    std::string settingsText(const Address& platform, const std::string& more) const
    {
        return R"({"instance": {"id": "entry-1", "data_centre": "catania", "caller_address": ")" + toString(callerAddress_) + R"(", "operator_address": ")" + toString(operatorAddress_)
            + R"(", "peer_address": ")" + toString(freeAddress()) + R"(", "caller_threads": 8, "stop_time": "5s"}, "platform": {"address": ")" + toString(platform)
            + R"("}, "data_centres": ["catania"], "log": {"level": "error"}, )" + more + configurationText() + "}";
    }

    void configure()
    {
        const HttpResponse response = send(operatorAddress_, "PUT", "/v1/configuration", operatorKey(), R"({"expected_version": 0, "who": "test", "base": {)" + configurationText() + R"(}, "overlays": {"catania": {}}})");
        if (response.status_ != 200 || response.body_.find("accepted") == std::string::npos)
            throw std::runtime_error("the configuration was not accepted: " + response.body_);
    }

    NewKey operatorKey_;
    NewKey duomoKey_;
    NewKey studioKey_;
    Address callerAddress_;
    Address operatorAddress_;
    std::string settingsName_;
    std::unique_ptr<Process> platform_;
    std::unique_ptr<Process> daemon_;
};

/** A TCP connection that sends and receives raw bytes. */
class RawConnection {
public:
    explicit RawConnection(const Address& address)
        : socket_(address.ip_, address.port_)
    {
        socket_.setTimeout(cxxtools::Milliseconds(15000));
    }

    void send(const std::string& bytes)
    {
        try {
            std::size_t sent = 0;
            while (sent < bytes.size())
                sent += socket_.write(bytes.data() + sent, bytes.size() - sent);
        } catch (const std::exception&) {
            // The server may have closed the connection; its response can still be read.
        }
    }

    /** Returns everything received until the server closes or resets the connection. */
    std::string readAll()
    {
        std::string answer;
        char buffer[4096];
        try {
            while (const std::size_t received = socket_.read(buffer, sizeof buffer))
                answer.append(buffer, received);
        } catch (const std::exception&) {
            // A reset ends the response as well.
        }
        return answer;
    }

private:
    cxxtools::net::TcpSocket socket_;
};

/** Sends bytes on a new connection and returns the response. */
inline std::string rawExchange(const Address& address, const std::string& bytes)
{
    RawConnection connection(address);
    connection.send(bytes);
    return connection.readAll();
}

}
