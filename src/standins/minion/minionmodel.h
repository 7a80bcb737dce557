#pragma once

#include "standins/common/endpoint.h"
#include "standins/common/eventlog.h"
#include "standins/common/eventloop.h"

#include <deque>
#include <map>
#include <string>

namespace fescuecleat::standins {

/** Identity and capacity of one minion. */
struct MinionIdentity {
    std::string id_;
    std::string service_;
    int slots_ = 8;
    /** Maximum number of requests that wait for a slot. */
    int queueLimit_ = 52;
    /** Processing time of a request that doesn't specify one. */
    Duration defaultWorkTime_ = std::chrono::milliseconds(20);
};

/** One minion: processes requests in its slots and returns the expected answer to each of them. */
class MinionModel : public Endpoint {
public:
    MinionModel(MinionIdentity, EventLoop&, EventLog&);

    const MinionIdentity& identity() const { return identity_; }

    void handle(const HttpRequest&, const Reply&) override;

    /** Marks all further responses as coming from a leaving minion, which takes no new work. */
    void startLeaving();

private:
    struct Work {
        HttpRequest request_;
        Reply reply_;
        Time deadline_;
    };

    void enqueue(const HttpRequest&, const Reply&);
    void start(const Work&);
    void finish(const Work&);
    void startQueued();
    void refuse(const Work&, const std::string& reason);
    HttpResponse health() const;
    void respond(const Work&, HttpResponse);
    void logEvent(const std::string& event, const HttpRequest&, const std::string& reason = "");

    MinionIdentity identity_;
    EventLoop& loop_;
    EventLog& log_;
    int busySlots_ = 0;
    bool isLeaving_ = false;
    std::deque<Work> queue_;
};

}
