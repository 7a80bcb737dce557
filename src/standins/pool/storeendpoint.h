#pragma once

#include "net/asynchttpserver.h"
#include "net/timer.h"
#include "platformfaults.h"
#include "poolmodel/fakerowstore.h"

#include <list>
#include <optional>

namespace fescuecleat {

/** Serves the rows of a store to the instances. */
class StoreEndpoint {
public:
    StoreEndpoint(boost::asio::io_context&, FakeRowStore&);

    Result<void> listen(const SocketAddress& address) { return server_.listen(address); }
    void setMode(StoreMode);
    /** While set, feeds give no answer; an empty answer would claim that nothing has changed. */
    void setFeedsSilent(bool areSilent);

private:
    void handle(const ServerRequest&, const AsyncHttpServer::Respond&);
    void commit(const ServerRequest&, const AsyncHttpServer::Respond&);
    void read(const ServerRequest&, const AsyncHttpServer::Respond&);
    void follow(const ServerRequest&, const AsyncHttpServer::Respond&);
    void answer(const AsyncHttpServer::Respond&, std::optional<ServerResponse>);
    /** Leaves a request without an answer. */
    void abandon(const AsyncHttpServer::Respond&);

    boost::asio::io_context& loop_;
    FakeRowStore& store_;
    StoreMode mode_ = StoreMode::Up;
    bool areFeedsSilent_ = false;
    std::list<Timer> abandoned_;
    AsyncHttpServer server_;
};

}
