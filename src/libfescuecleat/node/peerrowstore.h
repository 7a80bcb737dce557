#pragma once

#include "net/asynchttpclient.h"
#include "net/asynchttpserver.h"
#include "node/lifetime.h"
#include "node/storecall.h"

#include <functional>
#include <memory>
#include <vector>

namespace fescuecleat {

/** The store by way of peers that reach it. */
class PeerRowStore : public RowStore {
public:
    /** The peers to try, best first, and what became of a try. */
    struct Directory {
        std::function<std::vector<SocketAddress>()> candidates_;
        std::function<void(const SocketAddress&, bool hasAnswered)> tried_;
    };

    explicit PeerRowStore(AsyncHttpClient& client)
        : client_(client)
    {
    }

    void setDirectory(Directory directory) { directory_ = std::move(directory); }

    void commit(RowTransaction, Duration timeLimit, CommitHandler) override;
    void read(const RowRange&, Duration timeLimit, PageHandler) override;
    void follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeLimit, PageHandler) override;

    /** Makes a peer's call for it over our own path to the store. */
    static void serve(RowStore& own, const std::string& body, const AsyncHttpServer::Respond&);

    static constexpr const char* path = "/store";

private:
    struct Attempt;
    void send(StoreCall, PageHandler);
    void tryNext(const std::shared_ptr<Attempt>&);

    AsyncHttpClient& client_;
    Directory directory_;
    Lifetime lifetime_;
};

}
