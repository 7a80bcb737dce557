#pragma once

#include "control/schedulerlease.h"
#include "control/workerclock.h"
#include "model/explorer.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** Faults that are put into the protocol on purpose, to show that the model finds them. */
enum class LeaseFault {
    None,
    ValidityFromAnswer,
    CandidateWaitsTooShort,
    CandidateIgnoresDrift,
    IgnoresHeartbeat,
    WholeLeaseForAStart,
    IgnoresEpochAtCommit,
};

/**
 * Two instances, the table and one worker. Calls to the table are delivered
 * late, lost, or lose their answers; instances pause, since each event may
 * wait while time goes on; clocks run at rates that differ by the bound.
 */
class LeaseWorld {
public:
    struct Size {
        std::array<int, 3> ratesPerMille_;
        int coarseSteps_ = 4;
        int fineSteps_ = 1;
        /** Calls that are given up or lose their answers. */
        int losses_ = 2;
        int starts_ = 1;
    };

    LeaseWorld(LeaseFault fault, const Size& size)
        : fault_(fault)
        , rates_(size.ratesPerMille_)
        , coarseLeft_(size.coarseSteps_)
        , fineLeft_(size.fineSteps_)
        , lossesLeft_(size.losses_)
        , startsLeft_(size.starts_)
    {
        for (int i = 0; i < 2; ++i) {
            ControlTiming timing = timingOf(fault, i);
            instances_.push_back({ SchedulerLease(InstanceId(std::string(1, static_cast<char>('a' + i))), DataCentreId("d"), timing), {}, {}, {}, 0 });
            instances_.back().clock_.observed(0, now(i));
        }
        beginWithAHolder();
    }

    std::string text() const
    {
        std::string text = std::to_string(real_) + ' ' + std::to_string(coarseLeft_) + ' ' + std::to_string(fineLeft_) + ' ' + std::to_string(lossesLeft_) + ' ' + std::to_string(startsLeft_) + ' ' + rowText(rows_) + ' ' + std::to_string(revision_) + ' ' + violation_;
        for (const Instance& instance : instances_) {
            text += '|' + instance.lease_.stateText() + '|' + std::to_string(instance.claims_);
            if (instance.call_)
                text += callText(*instance.call_);
            if (instance.start_)
                text += " start " + std::to_string(instance.start_->epoch_) + ' ' + std::to_string(instance.start_->before_);
        }
        for (const Call& call : adrift_)
            text += "|adrift" + callText(call);
        return text;
    }

    std::string violation() const
    {
        if (!violation_.empty())
            return violation_;
        if (instances_[0].lease_.isHeldAt(now(0)) && instances_[1].lease_.isHeldAt(now(1)))
            return "two instances hold the lease";
        return {};
    }

    std::vector<ModelStep<LeaseWorld>> steps() const
    {
        std::vector<ModelStep<LeaseWorld>> steps;
        const auto add = [&](const std::string& event, const LeaseWorld& world) { steps.push_back({ event, world }); };
        const auto withTime = [&](Duration::rep step, const char* name) {
            LeaseWorld world = *this;
            world.real_ += step;
            --(step == fineStep ? world.fineLeft_ : world.coarseLeft_);
            add(name, world);
        };
        if (coarseLeft_ > 0)
            withTime(coarseStep, "time passes");
        // A little time matters only near the end of a validity.
        if (fineLeft_ > 0 && real_ == 3 * coarseStep)
            withTime(fineStep, "a little time passes");
        for (int i = 0; i < 2; ++i)
            addInstanceSteps(i, add);
        for (std::size_t i = 0; i < adrift_.size(); ++i) {
            LeaseWorld late = *this;
            Call call = late.adrift_[i];
            late.adrift_.erase(late.adrift_.begin() + static_cast<std::ptrdiff_t>(i));
            add("a late call is lost", late);
            late.decide(call);
            add("a late call takes effect", late);
        }
        return steps;
    }

    static constexpr Duration::rep coarseStep = 333'000;
    static constexpr Duration::rep fineStep = 500;
    static constexpr Duration::rep wholeLease = 1'000'000;

private:
    struct Call {
        LeaseStep step_;
        Time sentAt_;
        bool isDecided_ = false;
        bool isRefused_ = false;
        std::uint64_t revision_ = 0;
        ControlRows rows_;
    };

    struct Start {
        std::uint64_t epoch_ = 0;
        std::int64_t before_ = 0;
    };

    struct Instance {
        SchedulerLease lease_;
        std::optional<Call> call_;
        std::optional<Start> start_;
        WorkerClock clock_;
        int claims_ = 0;
    };

    static ControlTiming timingOf(LeaseFault fault, int instance)
    {
        ControlTiming timing;
        timing.lease_ = Duration(wholeLease);
        timing.renewal_ = Duration(400'000);
        timing.poll_ = Duration(700'000);
        // The second instance takes the lease over; its own validity plays no part in these faults.
        if (instance == 1 && fault == LeaseFault::CandidateWaitsTooShort)
            timing.lease_ = Duration(600'000);
        if (instance == 1 && fault == LeaseFault::CandidateIgnoresDrift)
            timing.lease_ = Duration(998'998);
        return timing;
    }

    /** The world begins when the first instance's acquisition has taken effect; its answer is on the way. */
    void beginWithAHolder()
    {
        Instance& holder = instances_.front();
        holder.call_ = Call { holder.lease_.next(now(0), "a0"), now(0), false, false, 0, {} };
        decide(*holder.call_);
        receive(0);
        holder.call_ = Call { holder.lease_.next(now(0), "a0"), now(0), false, false, 0, {} };
        decide(*holder.call_);
        holder.claims_ = 1;
    }

    /** Reads the clock of an instance, or of the worker at position 2. */
    Time now(int clock) const { return Time(Duration(real_ * rates_[static_cast<std::size_t>(clock)] / 1000)); }

    static std::string rowText(const ControlRows& rows)
    {
        return rows.lease_.holder_.value() + std::to_string(rows.lease_.epoch_) + rows.lease_.claim_ + ',' + std::to_string(rows.leaseVersion_) + ',' + std::to_string(rows.heartbeatVersion_);
    }

    static std::string callText(const Call& call)
    {
        std::string text = " call " + std::to_string(call.step_.index()) + ' ' + std::to_string(call.sentAt_.time_since_epoch().count());
        if (const auto* acquisition = std::get_if<AcquireLease>(&call.step_))
            text += ' ' + acquisition->record_.claim_ + ' ' + std::to_string(acquisition->leaseVersion_) + ' ' + std::to_string(acquisition->heartbeatVersion_);
        if (const auto* renewal = std::get_if<RenewLease>(&call.step_))
            text += ' ' + std::to_string(renewal->leaseVersion_);
        if (call.isDecided_)
            text += (call.isRefused_ ? " refused " : " done ") + std::to_string(call.revision_) + ' ' + rowText(call.rows_);
        return text;
    }

    /** The table takes the call. */
    void decide(Call& call)
    {
        call.isDecided_ = true;
        if (const auto* acquisition = std::get_if<AcquireLease>(&call.step_)) {
            const bool isSame = acquisition->leaseVersion_ == rows_.leaseVersion_ && (fault_ == LeaseFault::IgnoresHeartbeat || acquisition->heartbeatVersion_ == rows_.heartbeatVersion_);
            call.isRefused_ = !isSame;
            if (!isSame)
                return;
            rows_.lease_ = acquisition->record_;
            rows_.leaseVersion_ = rows_.heartbeatVersion_ = call.revision_ = ++revision_;
        } else if (const auto* renewal = std::get_if<RenewLease>(&call.step_)) {
            call.isRefused_ = renewal->leaseVersion_ != rows_.leaseVersion_ && fault_ != LeaseFault::IgnoresEpochAtCommit;
            if (!call.isRefused_)
                rows_.heartbeatVersion_ = call.revision_ = ++revision_;
        } else {
            call.rows_ = rows_;
        }
    }

    void receive(int index)
    {
        Instance& instance = instances_[static_cast<std::size_t>(index)];
        const Call call = *instance.call_;
        instance.call_.reset();
        const Time countedFrom = fault_ == LeaseFault::ValidityFromAnswer ? now(index) : call.sentAt_;
        if (call.isRefused_)
            instance.lease_.refused();
        else if (std::holds_alternative<AcquireLease>(call.step_))
            takeAcquired(instance, call, countedFrom);
        else if (std::holds_alternative<RenewLease>(call.step_))
            instance.lease_.renewed(countedFrom);
        else
            instance.lease_.observed(call.rows_, now(index));
    }

    void takeAcquired(Instance& instance, const Call& call, Time countedFrom)
    {
        instance.lease_.acquired(call.revision_);
        if (fault_ == LeaseFault::ValidityFromAnswer)
            instance.lease_.renewed(countedFrom);
    }

    void sendStart(Instance& instance)
    {
        const auto before = instance.clock_.startBefore(instance.lease_.validUntil());
        // The faulty variant gives every start a whole lease of time.
        const std::int64_t faulty = now(2).time_since_epoch().count() + wholeLease;
        --startsLeft_;
        if (before)
            instance.start_ = Start { instance.lease_.fence().epoch_, fault_ == LeaseFault::WholeLeaseForAStart ? faulty : *before };
    }

    void takeStart(Instance& instance)
    {
        const Start start = *instance.start_;
        instance.start_.reset();
        // The worker has not heard of any epoch yet: only the deadline protects it.
        if (now(2).time_since_epoch().count() > start.before_)
            return;
        if (start.epoch_ != rows_.lease_.epoch_)
            violation_ = "a start of epoch " + std::to_string(start.epoch_) + " ran in epoch " + std::to_string(rows_.lease_.epoch_);
    }

    template <typename Add>
    void addInstanceSteps(int index, const Add& add) const
    {
        const std::string name(1, static_cast<char>('a' + index));
        const Instance& instance = instances_[static_cast<std::size_t>(index)];
        const auto changed = [&](const std::string& event, auto change) {
            LeaseWorld world = *this;
            change(world, world.instances_[static_cast<std::size_t>(index)]);
            add(name + event, world);
        };
        if (!instance.call_) {
            changed(" acts", [&](LeaseWorld& world, Instance& acting) {
                const std::string claim = name + std::to_string(acting.claims_);
                const LeaseStep step = acting.lease_.next(now(index), claim);
                if (std::holds_alternative<WaitForLease>(step))
                    return;
                if (std::holds_alternative<AcquireLease>(step))
                    ++acting.claims_;
                acting.call_ = Call { step, now(index), false, false, 0, {} };
                (void)world;
            });
        } else if (!instance.call_->isDecided_) {
            changed("'s call takes effect", [](LeaseWorld& world, Instance& acting) { world.decide(*acting.call_); });
        }
        // A lost read is a read that another follows; losing writes is what matters.
        const bool canLose = lossesLeft_ > 0 && instance.call_ && !std::holds_alternative<ReadControlRows>(instance.call_->step_);
        if (canLose && !instance.call_->isDecided_) {
            changed(" gives its call up", [&](LeaseWorld& world, Instance& acting) {
                --world.lossesLeft_;
                world.adrift_.push_back(*acting.call_);
                acting.call_.reset();
                acting.lease_.failed(now(index));
            });
        }
        if (instance.call_ && instance.call_->isDecided_)
            changed(" gets its answer", [&](LeaseWorld& world, Instance&) { world.receive(index); });
        if (canLose && instance.call_->isDecided_) {
            changed(" loses its answer", [&](LeaseWorld& world, Instance& acting) {
                --world.lossesLeft_;
                acting.call_.reset();
                acting.lease_.failed(now(index));
            });
        }
        if (startsLeft_ > 0 && !instance.start_ && instance.lease_.isHeldAt(now(index)))
            changed(" sends a start", [](LeaseWorld& world, Instance& acting) { world.sendStart(acting); });
        if (instance.start_)
            changed("'s start arrives", [](LeaseWorld& world, Instance& acting) { world.takeStart(acting); });
    }

    LeaseFault fault_;
    std::array<int, 3> rates_;
    int coarseLeft_;
    int fineLeft_;
    int lossesLeft_;
    int startsLeft_;
    Duration::rep real_ = 0;
    ControlRows rows_;
    std::uint64_t revision_ = 0;
    std::vector<Instance> instances_;
    std::vector<Call> adrift_;
    std::string violation_;
};

}
