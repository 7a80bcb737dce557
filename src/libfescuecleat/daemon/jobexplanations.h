#pragma once

#include "http/httpmessage.h"
#include "state/jobrecord.h"

#include <string>

namespace fescuecleat {

class DataCentreScheduler;
class HttpClient;
class PeerCoordinator;

/** Explains why a job waits: asks the local scheduler, or the instance that schedules the job's data centre. */
class JobExplanations {
public:
    /** All references must outlive this object. */
    JobExplanations(const DataCentreScheduler& scheduler, const PeerCoordinator& peers, HttpClient& client)
        : scheduler_(scheduler)
        , peers_(peers)
        , client_(client)
    {
    }

    /** `request` is the caller's request; its key is passed on to the other instance. */
    std::string explain(const JobRecord&, const HttpRequest& request) const;

private:
    std::string askScheduler(const JobRecord&, const HttpRequest& request) const;

    const DataCentreScheduler& scheduler_;
    const PeerCoordinator& peers_;
    HttpClient& client_;
};

}
