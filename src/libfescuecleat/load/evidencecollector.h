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

    /** Remembers where the logs end, so that collect() returns only what follows. Errors: Unavailable. */
    Result<void> mark();

    /** Adds what the logs say since mark(), in order of time. Errors: Unavailable, InvalidSyntax. */
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
    /** Where the next page of each log begins, by address. */
    std::map<std::string, std::uint64_t> next_;
    std::map<std::string, std::uint64_t> dropped_;
};

}
