#pragma once

#include "net/httpclient.h"
#include "net/httpmessage.h"
#include "node/lifetime.h"
#include "node/nodecontext.h"
#include "node/peerdirectory.h"

#include <functional>
#include <optional>
#include <string>

namespace fescuecleat {

/** A caller's call on its way from an instance that can't reach the store to one that can. */
struct ForwardedCall {
    HttpRequest request_;
    Duration timeLeft_ {};
};

std::string encodeForwardedCall(const ForwardedCall&);
std::optional<ForwardedCall> decodeForwardedCall(const std::string& text);

/** Hands calls to peers. */
class PeerForwarder {
public:
    enum class Failure {
        /** No peer has done anything. */
        NotDone,
        /** A peer may have done it. */
        OutcomeUnknown,
    };
    using Handler = std::function<void(tl::expected<HttpAnswer, Failure>)>;

    PeerForwarder(HttpClient& client, PeerDirectory& directory)
        : client_(client)
        , directory_(directory)
    {
    }

    /** Tries peers until one answers otherwise than 503. */
    void forward(const HttpRequest&, Time deadline, Handler);

    static constexpr const char* path = "/peer/call";

private:
    struct Attempt;
    void tryNext(const std::shared_ptr<Attempt>&);

    HttpClient& client_;
    PeerDirectory& directory_;
    Lifetime lifetime_;
};

}
