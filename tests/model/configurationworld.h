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

/** Faults that are put into the protocol on purpose. */
enum class ConfigurationFault {
    None,
    AppliesLowerVersions,
    StartsFromAnyone,
    CountsOnlyReports,
    WritesWithoutComparing,
};

/**
 * Two instances in one data centre, one in another, the version row and two
 * operators who race. News travel late and out of order; instances lose all
 * they know and start again, at times without reaching the table.
 */
class ConfigurationWorld {
public:
    /** How much may happen. */
    struct Size {
        std::size_t operators_ = 1;
        int news_ = 4;
        int restarts_ = 1;
    };

    ConfigurationWorld(ConfigurationFault fault, const Size& size)
        : fault_(fault)
        , restartsLeft_(size.restarts_)
        , newsLeft_(size.news_)
        , operators_(size.operators_)
    {
        for (Instance& instance : instances_)
            instance.applied_.apply(1, ConfigurationSource::Table);
    }

    std::string text() const
    {
        std::string text = std::to_string(tableVersion_) + std::to_string(accepted_) + std::to_string(restartsLeft_) + ' ' + std::to_string(newsLeft_) + violation_;
        for (const Instance& instance : instances_)
            text += '|' + std::to_string(instance.applied_.version()) + std::to_string(instance.applied_.highestKnown()) + (instance.isCut_ ? "cut" : "") + std::to_string(instance.reported_);
        for (const std::uint64_t confirmed : confirmed_)
            text += '/' + std::to_string(confirmed);
        for (const News& news : news_)
            text += "|news " + std::to_string(news.to_) + std::to_string(news.version_) + std::to_string(static_cast<int>(news.source_));
        for (const Operator& someone : operators_)
            text += "|op " + std::to_string(someone.basedOn_) + std::to_string(someone.written_);
        return text;
    }

    std::string violation() const
    {
        if (!violation_.empty())
            return violation_;
        for (const Instance& instance : instances_) {
            // A fresh instance does not serve before it has a version.
            if (instance.applied_.version() != 0 && instance.applied_.version() < accepted_)
                return "an instance serves version " + std::to_string(instance.applied_.version()) + " after " + std::to_string(accepted_) + " was accepted";
        }
        if (operators_.size() == 2 && operators_[0].written_ != 0 && operators_[0].written_ == operators_[1].written_)
            return "two operators were told that they wrote the same version";
        return {};
    }

    std::vector<ModelStep<ConfigurationWorld>> steps() const
    {
        std::vector<ModelStep<ConfigurationWorld>> steps;
        const auto add = [&](const std::string& event, auto change) {
            ConfigurationWorld world = *this;
            change(world);
            steps.push_back({ event, world });
        };
        for (std::size_t i = 0; i < operators_.size(); ++i) {
            if (operators_[i].basedOn_ == 0)
                add("an operator reads", [i](ConfigurationWorld& world) { world.operators_[i].basedOn_ = world.tableVersion_; });
            else if (!operators_[i].isFinished_)
                add("an operator's write arrives", [i](ConfigurationWorld& world) { world.write(i); });
        }
        for (std::size_t i = 0; i < instances_.size(); ++i)
            addInstanceSteps(i, add);
        for (std::size_t i = 0; i < news_.size(); ++i)
            add("news arrive", [i](ConfigurationWorld& world) { world.takeNews(i); });
        for (std::size_t dataCentre = 0; dataCentre < 2; ++dataCentre)
            add("a data centre confirms", [dataCentre](ConfigurationWorld& world) { world.confirm(dataCentre); });
        add("acceptance is looked at", [](ConfigurationWorld& world) {
            world.accepted_ = std::max(world.accepted_, std::min(world.confirmed_[0], world.confirmed_[1]));
        });
        return steps;
    }

private:
    struct Instance {
        AppliedConfiguration applied_;
        /** Last version that its data centre's holder heard of it. */
        std::uint64_t reported_ = 1;
        bool isCut_ = false;
    };

    struct News {
        std::size_t to_ = 0;
        std::uint64_t version_ = 0;
        ConfigurationSource source_ = ConfigurationSource::Table;

        bool operator<(const News& other) const { return std::tie(to_, version_, source_) < std::tie(other.to_, other.version_, other.source_); }
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
        Operator& someone = operators_[index];
        someone.isFinished_ = true;
        const bool isNewest = someone.basedOn_ == tableVersion_;
        if (!isNewest && fault_ != ConfigurationFault::WritesWithoutComparing)
            return;
        someone.written_ = someone.basedOn_ + 1;
        tableVersion_ = someone.written_;
    }

    template <typename Add>
    void addInstanceSteps(std::size_t index, const Add& add) const
    {
        const Instance& instance = instances_[index];
        if (newsLeft_ > 0 && !instance.isCut_)
            add("the table is read", [index](ConfigurationWorld& world) { world.send({ index, world.tableVersion_, ConfigurationSource::Table }); });
        for (std::size_t peer = 0; peer < instances_.size() && newsLeft_ > 0; ++peer) {
            const std::uint64_t version = instances_[peer].applied_.version();
            if (peer == index || version == 0)
                continue;
            const bool isNeighbour = dataCentreOf(peer) == dataCentreOf(index) || fault_ == ConfigurationFault::StartsFromAnyone;
            const ConfigurationSource source = isNeighbour ? ConfigurationSource::NeighbourInForce : ConfigurationSource::Elsewhere;
            add("a peer tells", [=](ConfigurationWorld& world) { world.send({ index, version, source }); });
        }
        if (instance.reported_ != instance.applied_.version())
            add("an instance reports", [index](ConfigurationWorld& world) { world.instances_[index].reported_ = world.instances_[index].applied_.version(); });
        if (restartsLeft_ > 0)
            add("an instance is replaced", [index](ConfigurationWorld& world) { world.replace(index); });
    }

    void send(const News& news)
    {
        --newsLeft_;
        // News have no order on their way.
        news_.insert(std::upper_bound(news_.begin(), news_.end(), news), news);
    }

    void takeNews(std::size_t index)
    {
        const News news = news_[index];
        news_.erase(news_.begin() + static_cast<std::ptrdiff_t>(index));
        AppliedConfiguration& applied = instances_[news.to_].applied_;
        if (fault_ == ConfigurationFault::AppliesLowerVersions)
            applied = AppliedConfiguration();
        applied.apply(news.version_, news.source_);
    }

    /** A fresh process; answers to the old one's questions never reach it. It is listed from its start on. */
    void replace(std::size_t index)
    {
        --restartsLeft_;
        instances_[index] = {};
        instances_[index].isCut_ = true;
        instances_[index].reported_ = fault_ == ConfigurationFault::CountsOnlyReports ? accepted_ + 1 : 0;
        news_.erase(std::remove_if(news_.begin(), news_.end(), [&](const News& news) { return news.to_ == index; }), news_.end());
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
    int newsLeft_;
    std::array<Instance, 3> instances_;
    std::array<std::uint64_t, 2> confirmed_ { 1, 1 };
    std::vector<Operator> operators_;
    std::vector<News> news_;
    std::string violation_;
};

}
