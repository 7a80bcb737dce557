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

/** Lists the other instances from the rows they write at their start; may list instances that have stopped. */
class PeerDirectory {
public:
    explicit PeerDirectory(const NodeContext&);

    void start();
    /** Deletes this instance's row. */
    void unregisterSelf();
    /** The peers to try, those that failed most recently last. */
    std::vector<SocketAddress> candidates() const;
    std::optional<SocketAddress> addressOf(const std::string& instance) const;
    void markFailed(const SocketAddress&);
    void markReachable(const SocketAddress&);

private:
    void registerSelf();
    void refresh();

    NodeContext context_;
    Timer registrationTimer_;
    Timer refreshTimer_;
    Lifetime lifetime_;
    std::map<std::string, SocketAddress> peers_;
    std::map<SocketAddress, Time> failedAt_;
    std::size_t rotationOffset_ = 0;
};

}
