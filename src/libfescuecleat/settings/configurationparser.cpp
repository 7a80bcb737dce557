#include "settings/configurationparser.h"

#include "auth/keyhash.h"
#include "settings/guaranteefit.h"
#include "settings/keyhashreader.h"
#include "settings/memberreaders.h"
#include "settings/sections.h"

#include <array>
#include <map>

namespace fescuecleat {

namespace {

    constexpr int maxWorkers = 100000;
    constexpr int maxWorkersPerRack = 1024;
    constexpr int maxAcceleratorsPerWorker = 64;
    constexpr int maxGuaranteedCells = 1000000;
    constexpr double minWeight = 0.01;
    constexpr double maxWeight = 1000;
    constexpr int maxSlotsPerMinion = 10000;
    constexpr int maxConnectionsPerMinion = 10000;
    constexpr int maxAttemptsLimit = 100;
    constexpr int maxMovesPerHour = 10000;
    const DurationRange checkpointTimeoutRange { std::chrono::milliseconds(100), std::chrono::hours(1) };
    const DurationRange ageingThresholdRange { std::chrono::seconds(1), std::chrono::hours(24L * 30) };

    constexpr std::array<CellLevel, 5> levelsLargestFirst { CellLevel::Rack, CellLevel::Worker, CellLevel::Quad, CellLevel::Pair, CellLevel::Accelerator };

    std::string memberPath(const std::string& section, const std::string& name) { return section + "." + name; }

    class Parser {
    public:
        explicit Parser(const JsonValue& document)
            : document_(document)
        {
        }

        void parse()
        {
            ObjectReader reader(document_, {}, errors_);
            readCapacity(reader.object("data_centre"));
            readOrganisations(reader.object("organisations", false));
            readServices(reader.object("services", false));
            readOperators(reader.object("operators"));
            readPolicy(reader.object("policy", false));
            for (const std::string& section : settingsSections())
                reader.any(section);
            reader.finish();
            checkGuaranteesFit();
        }

        Configuration configuration_;
        std::vector<Error> errors_;

    private:
        void readCapacity(const JsonValue* section)
        {
            if (!section)
                return;
            ObjectReader reader(*section, "data_centre", errors_);
            const std::size_t errorCountBefore = errors_.size();
            DataCentreCapacity& capacity = configuration_.capacity_;
            capacity.workers_ = static_cast<int>(reader.integer("workers", 0, maxWorkers));
            capacity.workersPerRack_ = static_cast<int>(reader.integer("workers_per_rack", 1, maxWorkersPerRack));
            capacity.acceleratorsPerWorker_ = static_cast<int>(reader.integer("accelerators_per_worker", 1, maxAcceleratorsPerWorker));
            isCapacityValid_ = errors_.size() == errorCountBefore;
            reader.finish();
        }

        void readOrganisations(const JsonValue* section)
        {
            if (!section)
                return;
            for (const JsonValue& value : *section) {
                const std::string path = memberPath("organisations", value.name());
                checkName(value.name(), path, errors_);
                configuration_.organisations_.push_back(readOrganisation(value, path));
            }
        }

        OrganisationConfiguration readOrganisation(const JsonValue& value, const std::string& path)
        {
            OrganisationConfiguration organisation;
            organisation.id_ = OrganisationId(value.name());
            ObjectReader reader(value, path, errors_);
            const JsonValue* guarantee = reader.object("guarantee", false);
            if (guarantee)
                organisation.guarantee_ = readGuarantee(*guarantee, reader.pathOf("guarantee"));
            organisation.weight_ = reader.numberOr("weight", organisation.weight_, minWeight, maxWeight);
            organisation.keyHashes_ = readKeyHashes(reader, "keys");
            checkKeysUnique(organisation.keyHashes_, reader.pathOf("keys"));
            reader.finish();
            return organisation;
        }

        std::vector<CellCount> readGuarantee(const JsonValue& value, const std::string& path)
        {
            std::vector<CellCount> guarantee;
            ObjectReader reader(value, path, errors_);
            for (const CellLevel level : levelsLargestFirst) {
                const int count = static_cast<int>(reader.integerOr(cellLevelName(level), 0, 0, maxGuaranteedCells));
                if (count > 0)
                    guarantee.push_back({ level, count });
            }
            reader.finish();
            return guarantee;
        }

        void readServices(const JsonValue* section)
        {
            if (!section)
                return;
            for (const JsonValue& value : *section) {
                const std::string path = memberPath("services", value.name());
                checkName(value.name(), path, errors_);
                ServiceConfiguration service;
                service.id_ = ServiceId(value.name());
                ObjectReader reader(value, path, errors_);
                service.slotsPerMinion_ = static_cast<int>(reader.integerOr("slots_per_minion", service.slotsPerMinion_, 1, maxSlotsPerMinion));
                service.connectionsPerMinion_ = static_cast<int>(reader.integerOr("connections_per_minion", service.connectionsPerMinion_, 1, maxConnectionsPerMinion));
                reader.finish();
                configuration_.services_.push_back(std::move(service));
            }
        }

        void readOperators(const JsonValue* section)
        {
            if (!section)
                return;
            ObjectReader reader(*section, "operators", errors_);
            configuration_.operatorKeyHashes_ = readKeyHashes(reader, "keys");
            checkKeysUnique(configuration_.operatorKeyHashes_, "operators.keys");
            if (configuration_.operatorKeyHashes_.empty())
                reader.report(ErrorKind::MissingMember, "no operator key is given, so nobody could change this configuration", "give at least one key hash", "keys");
            reader.finish();
        }

        void readPolicy(const JsonValue* section)
        {
            if (!section)
                return;
            SchedulingPolicy& policy = configuration_.policy_;
            ObjectReader reader(*section, "policy", errors_);
            policy.checkpointTimeout_ = readDuration(reader, "checkpoint_time", policy.checkpointTimeout_, checkpointTimeoutRange);
            policy.maxAttempts_ = static_cast<int>(reader.integerOr("max_attempts", policy.maxAttempts_, 1, maxAttemptsLimit));
            policy.ageingThreshold_ = readDuration(reader, "ageing_time", policy.ageingThreshold_, ageingThresholdRange);
            policy.movesPerHour_ = static_cast<int>(reader.integerOr("moves_per_hour", policy.movesPerHour_, 0, maxMovesPerHour));
            reader.finish();
        }

        /** Reports keys that are already used by another owner; a key identifies exactly one. */
        void checkKeysUnique(const std::vector<std::string>& hashes, const std::string& path)
        {
            for (const std::string& text : hashes) {
                const Result<KeyHash> hash = parseKeyHash(text);
                if (!hash)
                    continue;
                const auto [owner, isNew] = keyOwners_.emplace(hash->id_, path);
                if (!isNew)
                    errors_.push_back({ ErrorKind::DuplicateMember, "key " + hash->id_ + " is already listed in " + owner->second + ", but a key has exactly one owner", "give each owner its own keys", path });
            }
        }

        void checkGuaranteesFit()
        {
            if (!isCapacityValid_)
                return;
            std::vector<CellCount> guarantees;
            for (const OrganisationConfiguration& organisation : configuration_.organisations_)
                guarantees.insert(guarantees.end(), organisation.guarantee_.begin(), organisation.guarantee_.end());
            const std::optional<GuaranteeShortfall> shortfall = findShortfall(configuration_.capacity_, guarantees);
            if (shortfall)
                errors_.push_back(describeShortfall(*shortfall));
        }

        Error describeShortfall(const GuaranteeShortfall& shortfall) const
        {
            const std::string level = cellLevelName(shortfall.level_);
            std::string owners;
            for (const OrganisationConfiguration& organisation : configuration_.organisations_) {
                for (const CellCount& cells : organisation.guarantee_) {
                    if (cells.level_ == shortfall.level_)
                        owners += (owners.empty() ? "" : ", ") + organisation.id_.value() + " " + std::to_string(cells.count_);
                }
            }
            const int excessCells = shortfall.requested_ - shortfall.available_;
            return { ErrorKind::GuaranteeDoesNotFit,
                "guarantees ask for " + std::to_string(shortfall.requested_) + " cells of level " + level + " (" + owners + "), larger guarantees leave "
                    + std::to_string(shortfall.available_) + ": " + std::to_string(excessCells) + " too many",
                "lower guarantees of level " + level + " by " + std::to_string(excessCells) + ", lower larger ones, or declare more workers in data_centre", "organisations" };
        }

        const JsonValue& document_;
        bool isCapacityValid_ = false;
        std::map<std::string, std::string> keyOwners_;
    };

}

ValidationResult<Configuration> parseConfiguration(const JsonValue& document)
{
    Parser parser(document);
    parser.parse();
    if (!parser.errors_.empty())
        return tl::make_unexpected(std::move(parser.errors_));
    return std::move(parser.configuration_);
}

}
