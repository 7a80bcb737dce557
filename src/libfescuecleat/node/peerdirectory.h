#pragma once

#include "net/socketaddress.h"
#include "net/timer.h"
#include "node/lifetime.h"
#include "node/nodecontext.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** The other instances, from rows that each writes at its start. May name instances that are gone. */
class PeerDirectory {
public:
    explicit PeerDirectory(const NodeContext&);

    void start();
    /** Removes our own row. */
    void leave();
    /** Peers to try, those that failed lately last. */
    std::vector<SocketAddress> candidates() const;
    std::optional<SocketAddress> endpointOf(const std::string& instance) const;
    void failed(const SocketAddress&);
    void answered(const SocketAddress&);

private:
    void announce();
    void refresh();

    NodeContext context_;
    Timer announceTimer_;
    Timer refreshTimer_;
    Lifetime lifetime_;
    std::map<std::string, SocketAddress> peers_;
    std::map<SocketAddress, Time> failedAt_;
    std::size_t offset_ = 0;
};

}
