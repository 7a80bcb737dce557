#pragma once

#include "base/result.h"
#include "settings/address.h"
#include "json/json.h"

#include <string>
#include <vector>

namespace fescuecleat {

/** An entry instance of the testbed. */
struct TestbedEntry {
    std::string instance_;
    Address caller_;
    Address operator_;
};

/** A data centre of the testbed with its stand-ins. */
struct TestbedDataCentre {
    std::string name_;
    std::vector<TestbedEntry> entries_;
    Address workersFaultPort_;
    Address minionsFaultPort_;
    int workers_ = 0;
    int acceleratorsPerWorker_ = 0;
};

/** An organisation and the key that the tool uses for it. */
struct TestbedOrganisation {
    std::string id_;
    std::string key_;
};

/** Where everything is; scripts/testbed writes it. */
struct Testbed {
    std::string deployment_;
    std::string service_;
    Address platformFaultPort_;
    std::string operatorKey_;
    std::vector<TestbedOrganisation> organisations_;
    std::vector<TestbedDataCentre> dataCentres_;
    /** File with the planned stops that scripts/testbed made, a JSON object a line. */
    std::string journal_;
};

/** Parses the file of a testbed; reports every error. */
Checked<Testbed> parseTestbed(const JsonValue&);

}
