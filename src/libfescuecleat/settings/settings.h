#pragma once

#include "base/id.h"
#include "base/time.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** An address to listen at or to connect to: a numeric IP and a port. */
struct Address {
    std::string ip_;
    unsigned short port_ = 0;

    bool operator==(const Address& other) const { return ip_ == other.ip_ && port_ == other.port_; }
    bool operator!=(const Address& other) const { return !(*this == other); }
};

/** "ip:port". */
std::string toString(const Address&);

enum class LogFormat {
    Text,
    Json,
};

/** What one process is and where it listens. Read at start, never changed while it runs. */
struct Settings {
    InstanceId instance_;
    DataCentreId dataCentre_;
    /** All data centres of the deployment, this one included. */
    std::vector<DataCentreId> dataCentres_;
    /** Callers: jobs and requests. */
    Address callerAddress_;
    /** Operators, health, metrics and state; has threads of its own. */
    Address operatorAddress_;
    /** Other daemons, over ZeroMQ. */
    Address peerAddress_;
    /** The platform's table, object store and instance list. */
    Address platformAddress_;
    /** Requests served at once by the caller edge. */
    int callerThreads_ = 100;
    LogFormat logFormat_ = LogFormat::Text;
    std::string logLevel_ = "info";
    /** PEM files of the HTTP edges; empty: no TLS. */
    std::string tlsCertificate_;
    std::string tlsPrivateKey_;
    /** Z85 key pair and accepted public keys for peers; empty: loopback only. */
    std::string peerPublicKey_;
    std::string peerSecretKey_;
    /** Time a planned stop gives to requests in progress. */
    Duration stopTime_ { std::chrono::seconds(30) };
    /** Hashes that are accepted from operators until a configuration is in force. */
    std::vector<std::string> bootstrapOperatorKeyHashes_;
};

}
