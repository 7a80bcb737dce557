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

/** Listens at one address, reads requests and plays the faults on their answers. */
class HttpListener {
public:
    /** `faults` and `traffic` may be null: a fault port itself has none. `instance` names the worker or minion in faults. */
    HttpListener(EventLoop&, Address, Endpoint&, FaultSet* faults, std::string instance, Traffic* traffic = nullptr);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

private:
    class Connection;
    struct Crossing;

    void open();
    void close();
    void accept();
    void matchRefusal();

    EventLoop& loop_;
    Address address_;
    Endpoint& endpoint_;
    FaultSet* faults_;
    std::string instance_;
    Traffic* traffic_;
    int socket_ = -1;
    std::set<std::shared_ptr<Connection>> connections_;
    /** An answer that waits to be exchanged with the next one. */
    std::shared_ptr<Crossing> crossing_;
};

}
