#pragma once

#include "control/appliedconfiguration.h"
#include "model/explorer.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace fescuecleat {

/** Faults injected into the protocol, to show that the model finds them. */
enum class ConfigurationFault {
    None,
    AppliesLowerVersions,
    AcceptsFirstVersionFromAnyone,
    IgnoresUnreportedInstances,
    WritesWithoutComparing,
};

/**
 * Model of configuration changes: two instances in one data centre, one in
 * another, the version row and up to two concurrent operators. Version notices
 * arrive late and out of order; instances restart without state and can't read
 * the table after a restart.
 */
class ConfigurationModel {
public:
    /** Bounds of the model. */
    struct Size {
        std::size_t operators_ = 1;
        int notices_ = 4;
        int restarts_ = 1;
    };

    ConfigurationModel(ConfigurationFault fault, const Size& size)
        : fault_(fault)
        , restartsLeft_(size.restarts_)
        , noticesLeft_(size.notices_)
        , operators_(size.operators_)
    {
        for (Instance& instance : instances_)
            instance.applied_.apply(1, ConfigurationSource::Table);
    }

    std::string text() const
    {
        std::string text = std::to_string(tableVersion_) + std::to_string(accepted_) + std::to_string(restartsLeft_) + ' ' + std::to_string(noticesLeft_) + violation_;
        for (const Instance& instance : instances_)
            text += '|' + std::to_string(instance.applied_.version()) + std::to_string(instance.applied_.highestKnown()) + (instance.isCutOff_ ? "cut" : "") + std::to_string(instance.reported_);
        for (const std::uint64_t confirmed : confirmed_)
            text += '/' + std::to_string(confirmed);
        for (const VersionNotice& notice : notices_)
            text += "|notice " + std::to_string(notice.to_) + std::to_string(notice.version_) + std::to_string(static_cast<int>(notice.source_));
        for (const Operator& op : operators_)
            text += "|op " + std::to_string(op.basedOn_) + std::to_string(op.written_);
        return text;
    }

    std::string violation() const
    {
        if (!violation_.empty())
            return violation_;
        for (const Instance& instance : instances_) {
            // A new instance does not serve before it has a version.
            if (instance.applied_.version() != 0 && instance.applied_.version() < accepted_)
                return "an instance has version " + std::to_string(instance.applied_.version()) + " in force after version " + std::to_string(accepted_) + " was accepted";
        }
        if (operators_.size() == 2 && operators_[0].written_ != 0 && operators_[0].written_ == operators_[1].written_)
            return "two operators were told that they wrote the same version";
        return {};
    }

    std::vector<Transition<ConfigurationModel>> transitions() const
    {
        std::vector<Transition<ConfigurationModel>> transitions;
        const auto add = [&](const std::string& event, auto change) {
            ConfigurationModel model = *this;
            change(model);
            transitions.push_back({ event, model });
        };
        for (std::size_t i = 0; i < operators_.size(); ++i) {
            if (operators_[i].basedOn_ == 0)
                add("an operator reads the version", [i](ConfigurationModel& model) { model.operators_[i].basedOn_ = model.tableVersion_; });
            else if (!operators_[i].isFinished_)
                add("an operator's write arrives", [i](ConfigurationModel& model) { model.write(i); });
        }
        for (std::size_t i = 0; i < instances_.size(); ++i)
            addInstanceSteps(i, add);
        for (std::size_t i = 0; i < notices_.size(); ++i)
            add("a version notice arrives", [i](ConfigurationModel& model) { model.receiveNotice(i); });
        for (std::size_t dataCentre = 0; dataCentre < 2; ++dataCentre)
            add("a data centre confirms", [dataCentre](ConfigurationModel& model) { model.confirm(dataCentre); });
        add("the accepted version is checked", [](ConfigurationModel& model) {
            model.accepted_ = std::max(model.accepted_, std::min(model.confirmed_[0], model.confirmed_[1]));
        });
        return transitions;
    }

private:
    struct Instance {
        AppliedConfiguration applied_;
        /** Version that the lease holder of its data centre last received from it. */
        std::uint64_t reported_ = 1;
        bool isCutOff_ = false;
    };

    /** A version on its way to an instance. */
    struct VersionNotice {
        std::size_t to_ = 0;
        std::uint64_t version_ = 0;
        ConfigurationSource source_ = ConfigurationSource::Table;

        bool operator<(const VersionNotice& other) const { return std::tie(to_, version_, source_) < std::tie(other.to_, other.version_, other.source_); }
    };

    struct Operator {
        std::uint64_t basedOn_ = 0;
        std::uint64_t written_ = 0;
        bool isFinished_ = false;
    };

    /** Instances 0 and 1 are in data centre 0, instance 2 in data centre 1. */
    static std::size_t dataCentreOf(std::size_t instance) { return instance < 2 ? 0 : 1; }

    void write(std::size_t index)
    {
        Operator& op = operators_[index];
        op.isFinished_ = true;
        const bool isNewest = op.basedOn_ == tableVersion_;
        if (!isNewest && fault_ != ConfigurationFault::WritesWithoutComparing)
            return;
        op.written_ = op.basedOn_ + 1;
        tableVersion_ = op.written_;
    }

    template <typename Add>
    void addInstanceSteps(std::size_t index, const Add& add) const
    {
        const Instance& instance = instances_[index];
        if (noticesLeft_ > 0 && !instance.isCutOff_)
            add("the table is read", [index](ConfigurationModel& model) { model.send({ index, model.tableVersion_, ConfigurationSource::Table }); });
        for (std::size_t peer = 0; peer < instances_.size() && noticesLeft_ > 0; ++peer) {
            const std::uint64_t version = instances_[peer].applied_.version();
            if (peer == index || version == 0)
                continue;
            const bool isLocalPeer = dataCentreOf(peer) == dataCentreOf(index) || fault_ == ConfigurationFault::AcceptsFirstVersionFromAnyone;
            const ConfigurationSource source = isLocalPeer ? ConfigurationSource::LocalPeerInForce : ConfigurationSource::Other;
            add("a peer sends its version", [=](ConfigurationModel& model) { model.send({ index, version, source }); });
        }
        if (instance.reported_ != instance.applied_.version())
            add("an instance reports", [index](ConfigurationModel& model) { model.instances_[index].reported_ = model.instances_[index].applied_.version(); });
        if (restartsLeft_ > 0)
            add("an instance is replaced", [index](ConfigurationModel& model) { model.replace(index); });
    }

    void send(const VersionNotice& notice)
    {
        --noticesLeft_;
        // Kept sorted, as the order of notices in flight does not matter.
        notices_.insert(std::upper_bound(notices_.begin(), notices_.end(), notice), notice);
    }

    void receiveNotice(std::size_t index)
    {
        const VersionNotice notice = notices_[index];
        notices_.erase(notices_.begin() + static_cast<std::ptrdiff_t>(index));
        AppliedConfiguration& applied = instances_[notice.to_].applied_;
        if (fault_ == ConfigurationFault::AppliesLowerVersions)
            applied = AppliedConfiguration();
        applied.apply(notice.version_, notice.source_);
    }

    /** Replaces an instance by a new process, which receives nothing that was sent to the old one. It is listed from its start. */
    void replace(std::size_t index)
    {
        --restartsLeft_;
        instances_[index] = {};
        instances_[index].isCutOff_ = true;
        instances_[index].reported_ = fault_ == ConfigurationFault::IgnoresUnreportedInstances ? accepted_ + 1 : 0;
        notices_.erase(std::remove_if(notices_.begin(), notices_.end(), [&](const VersionNotice& notice) { return notice.to_ == index; }), notices_.end());
    }

    void confirm(std::size_t dataCentre)
    {
        std::vector<std::uint64_t> versions;
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            if (dataCentreOf(i) == dataCentre)
                versions.push_back(instances_[i].reported_);
        }
        confirmed_[dataCentre] = std::max(confirmed_[dataCentre], std::min(versionInForce(versions), tableVersion_));
    }

    ConfigurationFault fault_;
    std::uint64_t tableVersion_ = 1;
    std::uint64_t accepted_ = 1;
    int restartsLeft_;
    int noticesLeft_;
    std::array<Instance, 3> instances_;
    std::array<std::uint64_t, 2> confirmed_ { 1, 1 };
    std::vector<Operator> operators_;
    std::vector<VersionNotice> notices_;
    std::string violation_;
};

}
