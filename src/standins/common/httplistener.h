#pragma once

#include "settings/settings.h"
#include "standins/common/endpoint.h"
#include "standins/common/eventloop.h"
#include "standins/common/faultset.h"
#include "standins/common/traffic.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fescuecleat::standins {

/** HTTP server on one address that passes requests to an endpoint and injects faults into the responses. */
class HttpListener {
public:
    /** `faults` and `traffic` may be null, as for a fault port. `instance` is the worker's or minion's id in faults. */
    HttpListener(EventLoop&, Address, Endpoint&, FaultSet* faults, std::string instance, Traffic* traffic = nullptr);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

private:
    class Connection;
    struct PendingSwap;

    void open();
    void close();
    void accept();
    void updateListening();

    EventLoop& loop_;
    Address address_;
    Endpoint& endpoint_;
    FaultSet* faults_;
    std::string instance_;
    Traffic* traffic_;
    int socket_ = -1;
    std::set<std::shared_ptr<Connection>> connections_;
    /** Set while a response waits to be swapped with the next one. */
    std::shared_ptr<PendingSwap> pendingSwap_;
};

}
