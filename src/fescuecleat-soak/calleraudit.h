#pragma once

#include "callerjob.h"

#include <map>
#include <string>
#include <vector>

namespace fescuecleat {

/** Finds the promises that the answers to callers break. */
class CallerAudit {
public:
    /** Times after which a change must show in the answers. */
    struct Limits {
        Duration revocation_ = std::chrono::seconds(5);
        Duration configuration_ = std::chrono::seconds(3);
        Duration acceptance_ = std::chrono::seconds(3);
    };

    explicit CallerAudit(Limits);

    void keyWithdrawn(const std::string& key, Time confirmedAt);
    void keyRestored(const std::string& key);
    /** From now on, calls to the queue may be answered that it doesn't exist. */
    void queueLeaves(const std::string& name);
    void configurationConfirmed(const std::vector<CallerQueue>&, Time confirmedAt);

    /** Checks an answer before its job records it. */
    void check(const CallerJob&, const CallerAnswer&);
    /** Checks an answer that concerns no job. */
    void check(const CallerAnswer&);

    std::vector<std::string> withdrawnKeys() const;
    const std::vector<std::string>& violations() const { return violations_; }

private:
    /** A queue as callers address it. */
    struct KnownQueue {
        std::string host_;
        std::string prefix_;
        Time effectiveAt_;
    };

    void checkState(const CallerJob&, const CallerAnswer&, PoolJobState);
    void report(const std::string& violation);

    Limits limits_;
    /** Withdrawn keys with the times from which calls with them must be refused. */
    std::map<std::string, Time> refusedFrom_;
    std::map<std::string, KnownQueue> queues_;
    std::vector<std::string> violations_;
};

}
