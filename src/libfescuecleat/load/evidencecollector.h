#pragma once

#include "http/httpclient.h"
#include "load/evidence.h"
#include "load/testbed.h"

#include <map>

namespace fescuecleat {

/** Fetches the logs of all stand-ins and the planned stops of the testbed. */
class EvidenceCollector {
public:
    EvidenceCollector(const Testbed& testbed, HttpClient& client)
        : testbed_(testbed)
        , client_(client)
    {
    }

    /** Stores the ends of the logs, so that collect() returns only later entries. Errors: Unavailable. */
    Result<void> markLogEnds();

    /** Adds the log entries since markLogEnds(), sorted by time, and the planned stops. Errors: Unavailable, InvalidSyntax, MissingMember. */
    Result<void> collect(Evidence&);

private:
    struct Source {
        Address address_;
        LogSource kind_ = LogSource::Worker;
        std::string dataCentre_;
    };

    std::vector<Source> sources() const;
    Result<LogPage> fetch(const Source&, std::uint64_t since);
    void readJournal(Evidence&) const;

    const Testbed& testbed_;
    HttpClient& client_;
    /** Sequence number of the next page of each log, by address. */
    std::map<std::string, std::uint64_t> nextSequence_;
    std::map<std::string, std::uint64_t> droppedAtMark_;
};

}
