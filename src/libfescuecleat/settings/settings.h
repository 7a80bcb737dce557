#pragma once

#include "base/id.h"
#include "base/time.h"
#include "settings/address.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Output format of log lines. */
enum class LogFormat {
    Text,
    Json,
};

/** Settings of one process, such as its identity and addresses. Read at startup and constant until it exits. */
struct Settings {
    InstanceId instance_;
    DataCentreId dataCentre_;
    /** All data centres of the deployment, including this one. */
    std::vector<DataCentreId> dataCentres_;
    /** Listening address of the caller API (jobs and requests). */
    Address callerAddress_;
    /** Listening address of the operator API, health, metrics and state. Served by separate threads. */
    Address operatorAddress_;
    /** Listening address for other daemons (ZeroMQ). */
    Address peerAddress_;
    /** Address of the platform's table, object store and instance list. */
    Address platformAddress_;
    /** Maximum number of requests that the caller API serves concurrently. */
    int callerThreads_ = 100;
    LogFormat logFormat_ = LogFormat::Text;
    std::string logLevel_ = "info";
    /** Paths of the PEM files for the HTTP servers; TLS is off if empty. */
    std::string tlsCertificate_;
    std::string tlsPrivateKey_;
    /** CURVE key pair (Z85) for peer connections. May be empty only if the peer address is a loopback address. */
    std::string peerPublicKey_;
    std::string peerSecretKey_;
    /** CURVE public keys (Z85) of peers that may connect; includes old and new keys during rotation. */
    std::vector<std::string> acceptedPeerKeys_;
    /** Time that requests in progress are given to finish during a graceful shutdown. */
    Duration stopTimeout_ { std::chrono::seconds(30) };
    /** Hashes of the operator keys that are valid until a configuration is in force. */
    std::vector<std::string> bootstrapOperatorKeyHashes_;
};

}
