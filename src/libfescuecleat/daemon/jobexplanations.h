#pragma once

#include "http/httpmessage.h"
#include "state/jobrecord.h"

#include <string>

namespace fescuecleat {

class DataCentreScheduler;
class HttpClient;
class PeerCoordinator;

/** Tells why a job waits: from the own scheduler, or by asking the instance that schedules the job's data centre. */
class JobExplanations {
public:
    /** All references outlive this object. */
    JobExplanations(const DataCentreScheduler& scheduler, const PeerCoordinator& peers, HttpClient& client)
        : scheduler_(scheduler)
        , peers_(peers)
        , client_(client)
    {
    }

    /** `request` is the caller's own, whose key is passed on. */
    std::string explain(const JobRecord&, const HttpRequest& request) const;

private:
    std::string ask(const JobRecord&, const HttpRequest& request) const;

    const DataCentreScheduler& scheduler_;
    const PeerCoordinator& peers_;
    HttpClient& client_;
};

}
