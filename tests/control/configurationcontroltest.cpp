#include "control/configurationcontrol.h"

#include "control/appliedconfiguration.h"
#include "control/controlrecords.h"
#include "state/rowkeys.h"
#include "support/faketable.h"
#include "support/property.h"

using namespace fescuecleat;

namespace {

const Time noDeadline = Time::max();

ConfigurationChange changeBy(const std::string& by, std::uint64_t basedOn)
{
    return { basedOn, by, "because", "{ // base\n}", { { DataCentreId("catania"), "{}" } } };
}

}

/** Configuration changes with concurrent changes, lost answers and delayed versions. */
class ConfigurationControlTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationControlTest);
    CPPUNIT_TEST(reportsTheWinningChange);
    CPPUNIT_TEST(findsOwnChangeAfterLostAnswer);
    CPPUNIT_TEST(isAcceptedWhenAllConfirmed);
    CPPUNIT_TEST(keepsTheNewestVersions);
    CPPUNIT_TEST(neverReverts);
    CPPUNIT_TEST_SUITE_END();

    FakeTable table_;
    WriteIds writeIds_ { "test" };
    ConfigurationControl control_ { table_, writeIds_ };

    std::uint64_t written(const ConfigurationChange& change)
    {
        return std::get<ConfigurationWritten>(*control_.apply(change, 1000, noDeadline)).version_;
    }

    void reportsTheWinningChange()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, written(changeBy("anna", 0)));
        const ConfigurationOutcome outcome = *control_.apply(changeBy("bruno", 0), 1000, noDeadline);
        CPPUNIT_ASSERT_EQUAL(std::string("anna"), std::get<ConfigurationConflict>(outcome).current_.by_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, written(changeBy("bruno", 1)));
        CPPUNIT_ASSERT_EQUAL(std::string("anna"), control_.history(noDeadline)->front().head_.by_);
    }

    void findsOwnChangeAfterLostAnswer()
    {
        table_.loseAnswers(1);
        CPPUNIT_ASSERT(control_.apply(changeBy("anna", 0), 1000, noDeadline).error().kind_ == ErrorKind::OutcomeUnknown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, written(changeBy("anna", 0)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, control_.head(noDeadline)->version_);
    }

    void isAcceptedWhenAllConfirmed()
    {
        const DataCentreId catania("catania");
        const DataCentreId palermo("palermo");
        written(changeBy("anna", 0));
        const Transaction lease { "lease", {}, { { rowkeys::lease(catania), writeLeaseRecord({}) }, { rowkeys::lease(palermo), writeLeaseRecord({}) } } };
        const std::uint64_t revision = std::get<Committed>(*table_.commit(lease, noDeadline)).revision_;
        CPPUNIT_ASSERT(control_.confirm(1, { catania, 0, revision }, noDeadline));
        CPPUNIT_ASSERT(control_.progress({ catania, palermo }, noDeadline)->missing(1) == std::vector<DataCentreId> { palermo });
        CPPUNIT_ASSERT(!control_.confirm(1, { palermo, 0, revision + 1 }, noDeadline));
        CPPUNIT_ASSERT(control_.confirm(1, { palermo, 0, revision }, noDeadline));
        CPPUNIT_ASSERT(control_.progress({ catania, palermo }, noDeadline)->isAccepted(1));
        CPPUNIT_ASSERT(!control_.progress({ catania, palermo }, noDeadline)->isAccepted(2));
    }

    void keepsTheNewestVersions()
    {
        for (std::uint64_t version = 0; version < 12; ++version)
            written(changeBy("anna", version));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 9 }, *control_.compact(3, noDeadline));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 10 }, control_.history(noDeadline)->front().head_.version_);
        CPPUNIT_ASSERT(control_.load(12, noDeadline));
    }

    void neverReverts()
    {
        CHECK_PROPERTY("the version in force never decreases", [](const std::vector<std::uint8_t>& versions) {
            AppliedConfiguration applied;
            std::uint64_t highest = 0;
            for (const std::uint8_t version : versions) {
                const bool isNewer = version > highest;
                RC_ASSERT(applied.apply(version, ConfigurationSource::Table) == isNewer);
                highest = std::max<std::uint64_t>(highest, version);
                RC_ASSERT(applied.version() == highest);
            }
        });
        AppliedConfiguration fresh;
        CPPUNIT_ASSERT(!fresh.apply(4, ConfigurationSource::Other) && fresh.isBehind());
        CPPUNIT_ASSERT(fresh.apply(4, ConfigurationSource::LocalPeerInForce) && fresh.apply(5, ConfigurationSource::Other));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, versionInForce({ 5, 3, 4 }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, versionInForce({}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationControlTest);
