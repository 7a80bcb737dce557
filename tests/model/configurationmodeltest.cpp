#include "model/configurationmodel.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;

namespace {

constexpr std::size_t maxStates = 2'000'000;
/** One change, four version notices for the three instances, and one restart. */
constexpr ConfigurationModel::Size oneChange { 1, 4, 1 };
/** Two concurrent changes. */
constexpr ConfigurationModel::Size twoChanges { 2, 3, 0 };

}

/** Checks all interleavings of configuration changes in a bounded model. */
class ConfigurationModelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationModelTest);
    CPPUNIT_TEST(acceptedVersionsNeverRevert);
    CPPUNIT_TEST(findsEveryFault);
    CPPUNIT_TEST_SUITE_END();

    void acceptedVersionsNeverRevert()
    {
        for (const ConfigurationModel::Size& size : { oneChange, twoChanges }) {
            const Exploration exploration = explore(ConfigurationModel(ConfigurationFault::None, size), maxStates);
            report("configuration", exploration);
            CPPUNIT_ASSERT_MESSAGE(traceText(exploration), exploration.violation_.empty() && exploration.isComplete_);
        }
    }

    void findsEveryFault()
    {
        for (const ConfigurationFault fault : { ConfigurationFault::AppliesLowerVersions, ConfigurationFault::AcceptsFirstVersionFromAnyone,
                 ConfigurationFault::IgnoresUnreportedInstances, ConfigurationFault::WritesWithoutComparing }) {
            const bool isRace = fault == ConfigurationFault::WritesWithoutComparing;
            const Exploration exploration = explore(ConfigurationModel(fault, isRace ? twoChanges : oneChange), maxStates);
            report("configuration with fault " + std::to_string(static_cast<int>(fault)), exploration);
            CPPUNIT_ASSERT(!exploration.violation_.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationModelTest);
