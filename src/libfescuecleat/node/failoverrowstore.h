#pragma once

#include "net/timer.h"
#include "node/jsoneventlog.h"
#include "node/lifetime.h"
#include "node/rowstore.h"

namespace fescuecleat {

/**
 * Accesses the store over the instance's own path, and fails over to peers while
 * that path is down: the store may refuse single instances or be unreachable
 * from them. The own path is probed meanwhile and used again once it answers.
 */
class FailoverRowStore : public RowStore {
public:
    FailoverRowStore(boost::asio::io_context&, RowStore& own, RowStore& peers, JsonEventLog&);

    void commit(RowTransaction, Duration timeout, CommitHandler) override;
    void read(const RowRange&, Duration timeout, PageHandler) override;
    void follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler) override;

    /** Whether the last probe of the own path succeeded, or none was needed yet. */
    bool isOwnPathUp() const { return isOwnPathUp_; }

private:
    /** Probes the own path after a failure; returns whether the call may be repeated over a peer. */
    bool handleOwnPathFailure(const StoreFailure&);
    void markOwnPathDown(const StoreFailure&);
    void probe();

    RowStore& own_;
    RowStore& peers_;
    JsonEventLog& log_;
    Timer probeTimer_;
    Lifetime lifetime_;
    bool isOwnPathUp_ = true;
    bool isProbing_ = false;
};

}
