#pragma once

#include "net/asynchttpclient.h"
#include "net/asynchttpserver.h"
#include "node/lifetime.h"
#include "node/storecall.h"

#include <functional>
#include <memory>
#include <vector>

namespace fescuecleat {

/** Accesses the store through peers that reach it. */
class PeerRowStore : public RowStore {
public:
    /** Provides the peers to try, best first, and is told the result of each attempt. */
    struct Directory {
        std::function<std::vector<SocketAddress>()> candidates_;
        std::function<void(const SocketAddress&, bool hasAnswered)> attempted_;
    };

    explicit PeerRowStore(AsyncHttpClient& client)
        : client_(client)
    {
    }

    void setDirectory(Directory directory) { directory_ = std::move(directory); }

    void commit(RowTransaction, Duration timeout, CommitHandler) override;
    void read(const RowRange&, Duration timeout, PageHandler) override;
    void follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler) override;

    /** Executes a peer's store call over the own path and responds with its outcome. */
    static void serve(RowStore& own, const std::string& body, const AsyncHttpServer::Respond&);

    static constexpr const char* path = "/store";

private:
    struct Attempt;
    void send(StoreCall, PageHandler);
    void tryNextPeer(const std::shared_ptr<Attempt>&);

    AsyncHttpClient& client_;
    Directory directory_;
    Lifetime lifetime_;
};

}
