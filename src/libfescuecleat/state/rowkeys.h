#pragma once

#include "base/id.h"

#include <cstdint>
#include <string>

namespace fescuecleat {

/**
 * Keys of the rows in the platform's table. Names are percent-encoded, so that
 * a slash in a name can't produce the key of another row.
 */
namespace rowkeys {

    /** Percent-encodes every byte outside [A-Za-z0-9._~-]. */
    std::string escaped(const std::string& name);

    /** Reverses escaped(); invalid escape sequences are kept unchanged. */
    std::string unescaped(const std::string& text);

    /** Prefix of all control rows of a data centre: lease, heartbeat, service and acknowledgement. */
    std::string control(const DataCentreId&);
    std::string lease(const DataCentreId&);
    std::string heartbeat(const DataCentreId&);
    std::string service(const DataCentreId&);
    std::string acknowledgement(const DataCentreId&);

    /** Prefix of the live jobs of a data centre. */
    std::string jobs(const DataCentreId&);
    std::string job(const DataCentreId&, const JobId&);

    /** Prefix of the ended jobs of a data centre. */
    std::string endedJobs(const DataCentreId&);
    std::string endedJob(const DataCentreId&, const JobId&);

    /** Prefix of the scheduler inbox of a data centre: new jobs and cancellations. */
    std::string inbox(const DataCentreId&);
    std::string submission(const DataCentreId&, const JobId&);
    std::string cancellation(const DataCentreId&, const JobId&);

    /** Maps an organisation's idempotency key to its job. */
    std::string jobKey(const OrganisationId&, const std::string& idempotencyKey);

    /** Head of the newest configuration version, without content because every instance polls this row. */
    std::string configuration();
    /** Prefix of the stored configuration versions with their content. */
    std::string configurationVersions();
    std::string configurationVersion(std::uint64_t version);
    /** Prefix of the rows that name the version in force in each data centre. */
    std::string configurationsInForce();
    std::string configurationInForce(const DataCentreId&);

}

}
