#pragma once

#include "net/timer.h"
#include "node/jsoneventlog.h"
#include "node/lifetime.h"
#include "node/rowstore.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/**
 * Accesses the store over the instance's own path, and fails over to peers while
 * that path is down: the store may refuse single instances or be unreachable
 * from them. It may also be unavailable in part, which is no fault of the path: the path
 * counts as down only while nothing is answered over it. What no peer can do is still tried over it.
 */
class FailoverRowStore : public RowStore {
public:
    FailoverRowStore(boost::asio::io_context&, RowStore& own, RowStore& peers, JsonEventLog&);

    void commit(RowTransaction, Duration timeout, CommitHandler) override;
    void read(const RowRange&, Duration timeout, PageHandler) override;
    void follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler) override;

    /** Is called after each answer of the store, over whatever path, before the caller is answered. */
    void setAnswerListener(std::function<void()> listener) { answerListener_ = std::move(listener); }
    /** Whether the store answers over the own path, or no call has failed yet. */
    bool isOwnPathUp() const { return isOwnPathUp_; }

private:
    template <typename Answer>
    using Handler = std::function<void(tl::expected<Answer, StoreFailure>)>;
    /** Sends a call over a path with a timeout. */
    template <typename Answer>
    using Send = std::function<void(RowStore& path, Duration timeout, Handler<Answer>)>;

    /** `target` names the part or feed that the call concerns. */
    template <typename Answer>
    void call(const std::string& target, Duration timeout, Send<Answer>, Handler<Answer>);
    template <typename Answer>
    void callOwn(Duration timeout, const Send<Answer>&, Handler<Answer>);
    void noteAnswer();
    void notifyListener() const;
    void noteFailure(const StoreFailure&);
    void markOwnPathDown(const StoreFailure&);
    /** Reads several parts; one answer shows that the path is up. */
    void probe(std::size_t parts);
    void handleProbe(const tl::expected<RowPage, StoreFailure>&);
    /** Whether a call that no peer could do may be sent over the own path now. */
    bool isOwnAttemptDue(const std::string& target);

    RowStore& own_;
    RowStore& peers_;
    JsonEventLog& log_;
    std::function<void()> answerListener_;
    Timer probeTimer_;
    Lifetime lifetime_;
    std::vector<std::string> parts_;
    std::size_t nextPart_ = 0;
    bool isOwnPathUp_ = true;
    std::size_t probesInFlight_ = 0;
    Time probedAt_ {};
    Time lastAnswerAt_ {};
    /** By target. */
    std::map<std::string, Time> nextOwnAttemptAt_;
};

}
