#pragma once

#include "standins/common/endpoint.h"
#include "standins/common/eventlog.h"
#include "standins/common/eventloop.h"

#include <deque>
#include <map>
#include <string>

namespace fescuecleat::standins {

/** What distinguishes one minion. */
struct MinionIdentity {
    std::string id_;
    std::string service_;
    int slots_ = 8;
    /** Requests that may wait for a slot. */
    int queue_ = 52;
    /** Time that a request takes which doesn't say how long. */
    Duration workTime_ = std::chrono::milliseconds(20);
};

/** One minion: works on requests in its slots and answers each in the one right way. */
class MinionModel : public Endpoint {
public:
    MinionModel(MinionIdentity, EventLoop&, EventLog&);

    const MinionIdentity& identity() const { return identity_; }

    void handle(const HttpRequest&, const Reply&) override;

    /** From now on every answer says that nothing new is to be sent. */
    void leave();

private:
    struct Work {
        HttpRequest request_;
        Reply reply_;
        Time deadline_;
    };

    void receive(const HttpRequest&, const Reply&);
    void begin(const Work&);
    void finish(const Work&);
    void beginWaiting();
    void refuse(const Work&, const std::string& reason);
    HttpResponse health() const;
    void send(const Work&, HttpResponse);
    void note(const std::string& event, const HttpRequest&, const std::string& reason = "");

    MinionIdentity identity_;
    EventLoop& loop_;
    EventLog& log_;
    int busy_ = 0;
    bool isLeaving_ = false;
    std::deque<Work> waiting_;
};

}
