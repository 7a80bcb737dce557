#pragma once

#include "net/timer.h"
#include "node/jsoneventlog.h"
#include "node/lifetime.h"
#include "node/rowstore.h"

namespace fescuecleat {

/**
 * The store over our own path while it serves us, otherwise over a peer's. The
 * store may turn single instances away, or be cut off from them. Our own path
 * is probed meanwhile and taken again when it answers.
 */
class FailoverRowStore : public RowStore {
public:
    FailoverRowStore(boost::asio::io_context&, RowStore& own, RowStore& peers, JsonEventLog&);

    void commit(RowTransaction, Duration timeLimit, CommitHandler) override;
    void read(const RowRange&, Duration timeLimit, PageHandler) override;
    void follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeLimit, PageHandler) override;

    /** Nothing is known against our own path. */
    bool isOwnPathUp() const { return isOwnPathUp_; }

private:
    /** Takes note of a failure on our own path; says whether a peer may make the call in our place. */
    bool noteFailure(const StoreFailure&);
    void losePath(const StoreFailure&);
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
