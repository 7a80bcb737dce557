#pragma once

#include "base/id.h"
#include "base/time.h"
#include "settings/address.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Layout of log lines. */
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
    /** Z85 key pair for peers (CURVE); empty: peers are on loopback only. */
    std::string peerPublicKey_;
    std::string peerSecretKey_;
    /** Z85 public keys of the peers that may connect; several pairs while one is rotated. */
    std::vector<std::string> acceptedPeerKeys_;
    /** Time a planned stop gives to requests in progress. */
    Duration stopTime_ { std::chrono::seconds(30) };
    /** Hashes that are accepted from operators until a configuration is in force. */
    std::vector<std::string> bootstrapOperatorKeyHashes_;
};

}
