#pragma once

#include "base/result.h"
#include "settings/address.h"
#include "json/json.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** Addresses of an entry instance. */
struct TestbedEntry {
    std::string instance_;
    Address callerAddress_;
    Address operatorAddress_;
};

/** A data centre with its entry instances and stand-ins. */
struct TestbedDataCentre {
    std::string name_;
    std::vector<TestbedEntry> entries_;
    Address workersFaultAddress_;
    Address minionsFaultAddress_;
    int workers_ = 0;
    int acceleratorsPerWorker_ = 0;
};

/** An organisation and its API key. */
struct TestbedOrganisation {
    std::string id_;
    std::string key_;
};

/** Addresses and keys of a testbed, as written by scripts/testbed. */
struct Testbed {
    std::string deployment_;
    std::string service_;
    Address platformFaultAddress_;
    std::string operatorKey_;
    std::vector<TestbedOrganisation> organisations_;
    std::vector<TestbedDataCentre> dataCentres_;
    /** File to which scripts/testbed appends planned stops, one JSON object per line. */
    std::string journal_;
};

/** Parses a testbed file and reports all errors. */
ValidationResult<Testbed> parseTestbed(const JsonValue&);

}
