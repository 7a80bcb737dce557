#include "load/testbed.h"

#include "settings/memberreaders.h"
#include "json/objectreader.h"

namespace fescuecleat {

namespace {

    constexpr int maxWorkers = 10000;
    constexpr int maxAcceleratorsPerWorker = 64;
    constexpr std::size_t maxKeyBytes = 1024;

    TestbedEntry parseEntry(const JsonValue& value, const std::string& path, std::vector<Error>& errors)
    {
        ObjectReader reader(value, path, errors);
        TestbedEntry entry;
        entry.instance_ = reader.string("instance");
        entry.callerAddress_ = readAddress(reader, "caller");
        entry.operatorAddress_ = readAddress(reader, "operator");
        reader.finish();
        return entry;
    }

    TestbedDataCentre parseDataCentre(const JsonValue& value, const std::string& path, std::vector<Error>& errors)
    {
        ObjectReader reader(value, path, errors);
        TestbedDataCentre dataCentre;
        dataCentre.name_ = reader.string("name");
        if (const JsonValue* list = reader.array("entries")) {
            for (const JsonValue& item : *list)
                dataCentre.entries_.push_back(parseEntry(item, reader.pathOf("entries"), errors));
        }
        dataCentre.workersFaultAddress_ = readAddress(reader, "workers_fault");
        dataCentre.minionsFaultAddress_ = readAddress(reader, "minions_fault");
        dataCentre.workers_ = static_cast<int>(reader.integer("workers", 0, maxWorkers));
        dataCentre.acceleratorsPerWorker_ = static_cast<int>(reader.integer("accelerators_per_worker", 1, maxAcceleratorsPerWorker));
        reader.finish();
        return dataCentre;
    }

    TestbedOrganisation parseOrganisation(const JsonValue& value, const std::string& path, std::vector<Error>& errors)
    {
        ObjectReader reader(value, path, errors);
        TestbedOrganisation organisation;
        organisation.id_ = reader.string("id");
        organisation.key_ = reader.string("key", maxKeyBytes);
        reader.finish();
        return organisation;
    }

}

ValidationResult<Testbed> parseTestbed(const JsonValue& value)
{
    std::vector<Error> errors;
    ObjectReader reader(value, "", errors);
    Testbed testbed;
    testbed.deployment_ = reader.string("deployment");
    testbed.service_ = reader.string("service");
    testbed.platformFaultAddress_ = readAddress(reader, "platform_fault");
    testbed.operatorKey_ = reader.string("operator_key", maxKeyBytes);
    testbed.journal_ = reader.stringOr("journal", "", maxKeyBytes);
    if (const JsonValue* list = reader.array("organisations")) {
        for (const JsonValue& item : *list)
            testbed.organisations_.push_back(parseOrganisation(item, "organisations", errors));
    }
    if (const JsonValue* list = reader.array("data_centres")) {
        for (const JsonValue& item : *list)
            testbed.dataCentres_.push_back(parseDataCentre(item, "data_centres", errors));
    }
    reader.finish();
    if (testbed.organisations_.empty())
        reader.report(ErrorKind::OutOfRange, "no organisation is given", "give at least one", "organisations");
    if (testbed.dataCentres_.empty())
        reader.report(ErrorKind::OutOfRange, "no data centre is given", "give at least one", "data_centres");
    if (!errors.empty())
        return tl::unexpected<std::vector<Error>>(errors);
    return testbed;
}

}
