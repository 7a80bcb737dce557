#pragma once

#include "base/id.h"

#include <cstdint>
#include <string>

namespace fescuecleat {

/**
 * Keys of the rows that the project keeps in the platform's table. Names in
 * them are escaped, so that a slash in a name can't reach another row.
 */
namespace rowkeys {

    /** The name with every byte outside [A-Za-z0-9._~-] as %XX. */
    std::string escaped(const std::string& name);

    /** The name that was escaped; bytes that escaped() doesn't write stay as they are. */
    std::string unescaped(const std::string& text);

    /** Prefix of all control rows of a data centre: lease, heartbeat and service. */
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

    /** Prefix of what waits for the scheduler of a data centre: new jobs and cancellations. */
    std::string inbox(const DataCentreId&);
    std::string submission(const DataCentreId&, const JobId&);
    std::string cancellation(const DataCentreId&, const JobId&);

    /** The submission that an organisation's idempotency key stands for. */
    std::string jobKey(const OrganisationId&, const std::string& idempotencyKey);

    /** The newest configuration version; small, since every instance polls it. */
    std::string configuration();
    /** Prefix of the contents of all versions that are kept. */
    std::string configurationVersions();
    std::string configurationVersion(std::uint64_t version);
    /** Prefix of the versions that the data centres have in force. */
    std::string configurationsInForce();
    std::string configurationInForce(const DataCentreId&);

}

}
