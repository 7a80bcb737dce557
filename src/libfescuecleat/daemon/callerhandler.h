#pragma once

#include "daemon/identitysource.h"
#include "daemon/jobexplanations.h"
#include "daemon/jobservice.h"
#include "http/httphandler.h"
#include "routing/requestrouter.h"
#include "telemetry/metrics.h"

#include <atomic>
#include <string>
#include <vector>

namespace fescuecleat {

/** HTTP API for callers: jobs, and requests to a service's minions. */
class CallerHandler : public HttpHandler {
public:
    /** All references must outlive the handler. */
    CallerHandler(const InstanceId&, IdentitySource&, JobService&, const JobExplanations&, RequestRouter&, Metrics&);

    HttpResponse handle(const HttpRequest&) override;

    /** Refuses new jobs and requests from now on, stating that they did not run. */
    void beginStop() { isStopping_ = true; }

private:
    HttpResponse route(const HttpRequest&, const std::vector<std::string>& path, const OrganisationId&);
    HttpResponse routeJobs(const HttpRequest&, const std::vector<std::string>& path, const OrganisationId&);
    HttpResponse submit(const HttpRequest&, const OrganisationId&);
    HttpResponse status(const HttpRequest&, const JobId&, const OrganisationId&);
    HttpResponse list(const OrganisationId&);
    HttpResponse cancel(const JobId&, const OrganisationId&);
    HttpResponse explain(const HttpRequest&, const JobId&, const OrganisationId&);
    HttpResponse forwardToService(const HttpRequest&, const ServiceId&, const OrganisationId&);

    IdentitySource& identities_;
    JobService& jobs_;
    const JobExplanations& explanations_;
    RequestRouter& router_;
    const std::string requestPrefix_;
    std::atomic<std::uint64_t> requestCount_ { 0 };
    std::atomic<bool> isStopping_ { false };

    Counter& answered_;
    Counter& notRun_;
    Counter& unknown_;
    Counter& refused_;
    LatencyHistogram& requestTime_;
    LatencyHistogram& submitTime_;
};

}
