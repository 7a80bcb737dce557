#pragma once

#include "control/schedulerlease.h"
#include "control/workerclock.h"
#include "model/explorer.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** Faults injected into the protocol, to show that the model finds them. */
enum class LeaseFault {
    None,
    ValidityFromAnswer,
    CandidateWaitsTooShort,
    CandidateIgnoresDrift,
    IgnoresHeartbeat,
    FullLeaseForAStart,
    RenewsWithoutCondition,
};

/**
 * Model of the scheduler lease: two instances, the table and one worker. Calls
 * to the table arrive late, are lost or lose their answers. Instances can pause
 * at any point, as time may pass between any two events. The rates of the clocks
 * differ by up to the drift bound.
 */
class LeaseModel {
public:
    struct Size {
        std::array<int, 3> ratesPerMille_;
        int coarseSteps_ = 4;
        int fineSteps_ = 1;
        /** Calls that time out or lose their answers. */
        int losses_ = 2;
        int starts_ = 1;
    };

    LeaseModel(LeaseFault fault, const Size& size)
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
        startWithHolder();
    }

    std::string text() const
    {
        std::string text = std::to_string(trueTime_) + ' ' + std::to_string(coarseLeft_) + ' ' + std::to_string(fineLeft_) + ' ' + std::to_string(lossesLeft_) + ' ' + std::to_string(startsLeft_) + ' ' + rowText(rows_) + ' ' + std::to_string(revision_) + ' ' + violation_;
        for (const Instance& instance : instances_) {
            text += '|' + instance.lease_.stateText() + '|' + std::to_string(instance.acquisitions_);
            if (instance.call_)
                text += callText(*instance.call_);
            if (instance.start_)
                text += " start " + std::to_string(instance.start_->epoch_) + ' ' + std::to_string(instance.start_->before_);
        }
        for (const Call& call : abandonedCalls_)
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

    std::vector<Transition<LeaseModel>> transitions() const
    {
        std::vector<Transition<LeaseModel>> transitions;
        const auto add = [&](const std::string& event, const LeaseModel& model) { transitions.push_back({ event, model }); };
        const auto advance = [&](Duration::rep step, const char* name) {
            LeaseModel model = *this;
            model.trueTime_ += step;
            --(step == fineStep ? model.fineLeft_ : model.coarseLeft_);
            add(name, model);
        };
        if (coarseLeft_ > 0)
            advance(coarseStep, "time passes");
        // Small steps matter only just before the lease ends; elsewhere they would only add states.
        if (fineLeft_ > 0 && trueTime_ == 3 * coarseStep)
            advance(fineStep, "a little time passes");
        for (int i = 0; i < 2; ++i)
            addInstanceSteps(i, add);
        for (std::size_t i = 0; i < abandonedCalls_.size(); ++i) {
            LeaseModel lateModel = *this;
            Call call = lateModel.abandonedCalls_[i];
            lateModel.abandonedCalls_.erase(lateModel.abandonedCalls_.begin() + static_cast<std::ptrdiff_t>(i));
            add("a delayed call is lost", lateModel);
            lateModel.executeCall(call);
            add("a delayed call takes effect", lateModel);
        }
        return transitions;
    }

    static constexpr Duration::rep coarseStep = 333'000;
    static constexpr Duration::rep fineStep = 500;
    static constexpr Duration::rep leaseDuration = 1'000'000;

private:
    struct Call {
        LeaseStep step_;
        Time sentAt_;
        bool isExecuted_ = false;
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
        int acquisitions_ = 0;
    };

    static ControlTiming timingOf(LeaseFault fault, int instance)
    {
        ControlTiming timing;
        timing.leaseDuration_ = Duration(leaseDuration);
        timing.renewalInterval_ = Duration(400'000);
        timing.pollInterval_ = Duration(700'000);
        // These faults shorten the time that the second instance waits before it takes over. Its own lease is shorter
        // too, which does not affect the result.
        if (instance == 1 && fault == LeaseFault::CandidateWaitsTooShort)
            timing.leaseDuration_ = Duration(600'000);
        if (instance == 1 && fault == LeaseFault::CandidateIgnoresDrift)
            timing.leaseDuration_ = Duration(998'998);
        return timing;
    }

    /** Starts in the state in which the acquisition of the first instance has taken effect and its answer is in flight. */
    void startWithHolder()
    {
        Instance& holder = instances_.front();
        holder.call_ = Call { holder.lease_.next(now(0), "a0"), now(0), false, false, 0, {} };
        executeCall(*holder.call_);
        receiveAnswer(0);
        holder.call_ = Call { holder.lease_.next(now(0), "a0"), now(0), false, false, 0, {} };
        executeCall(*holder.call_);
        holder.acquisitions_ = 1;
    }

    /** Reads a clock: 0 and 1 are the instances, 2 is the worker. */
    Time now(int clock) const { return Time(Duration(trueTime_ * rates_[static_cast<std::size_t>(clock)] / 1000)); }

    static std::string rowText(const ControlRows& rows)
    {
        return rows.lease_.holder_.value() + std::to_string(rows.lease_.epoch_) + rows.lease_.acquisitionId_ + ',' + std::to_string(rows.leaseVersion_) + ',' + std::to_string(rows.heartbeatVersion_);
    }

    static std::string callText(const Call& call)
    {
        std::string text = " call " + std::to_string(call.step_.index()) + ' ' + std::to_string(call.sentAt_.time_since_epoch().count());
        if (const auto* acquisition = std::get_if<AcquireLease>(&call.step_))
            text += ' ' + acquisition->record_.acquisitionId_ + ' ' + std::to_string(acquisition->leaseVersion_) + ' ' + std::to_string(acquisition->heartbeatVersion_);
        if (const auto* renewal = std::get_if<RenewLease>(&call.step_))
            text += ' ' + std::to_string(renewal->leaseVersion_);
        if (call.isExecuted_)
            text += (call.isRefused_ ? " refused " : " done ") + std::to_string(call.revision_) + ' ' + rowText(call.rows_);
        return text;
    }

    /** The table executes the call. */
    void executeCall(Call& call)
    {
        call.isExecuted_ = true;
        if (const auto* acquisition = std::get_if<AcquireLease>(&call.step_)) {
            const bool conditionsHold = acquisition->leaseVersion_ == rows_.leaseVersion_ && (fault_ == LeaseFault::IgnoresHeartbeat || acquisition->heartbeatVersion_ == rows_.heartbeatVersion_);
            call.isRefused_ = !conditionsHold;
            if (!conditionsHold)
                return;
            rows_.lease_ = acquisition->record_;
            rows_.leaseVersion_ = rows_.heartbeatVersion_ = call.revision_ = ++revision_;
        } else if (const auto* renewal = std::get_if<RenewLease>(&call.step_)) {
            call.isRefused_ = renewal->leaseVersion_ != rows_.leaseVersion_ && fault_ != LeaseFault::RenewsWithoutCondition;
            if (!call.isRefused_)
                rows_.heartbeatVersion_ = call.revision_ = ++revision_;
        } else {
            call.rows_ = rows_;
        }
    }

    void receiveAnswer(int index)
    {
        Instance& instance = instances_[static_cast<std::size_t>(index)];
        const Call call = *instance.call_;
        instance.call_.reset();
        const Time validFrom = fault_ == LeaseFault::ValidityFromAnswer ? now(index) : call.sentAt_;
        if (call.isRefused_)
            instance.lease_.refused();
        else if (std::holds_alternative<AcquireLease>(call.step_))
            receiveAcquisition(instance, call, validFrom);
        else if (std::holds_alternative<RenewLease>(call.step_))
            instance.lease_.renewed(validFrom);
        else
            instance.lease_.observed(call.rows_, now(index));
    }

    void receiveAcquisition(Instance& instance, const Call& call, Time validFrom)
    {
        instance.lease_.acquired(call.revision_);
        if (fault_ == LeaseFault::ValidityFromAnswer)
            instance.lease_.renewed(validFrom);
    }

    void sendStart(Instance& instance)
    {
        const auto before = instance.clock_.startBefore(instance.lease_.validUntil());
        // The injected fault allows every start for the duration of a full lease.
        const std::int64_t unbounded = now(2).time_since_epoch().count() + leaseDuration;
        --startsLeft_;
        if (before)
            instance.start_ = Start { instance.lease_.fence().epoch_, fault_ == LeaseFault::FullLeaseForAStart ? unbounded : *before };
    }

    void receiveStart(Instance& instance)
    {
        const Start start = *instance.start_;
        instance.start_.reset();
        // The worker has seen no epoch yet, so only the deadline rejects late starts.
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
            LeaseModel model = *this;
            change(model, model.instances_[static_cast<std::size_t>(index)]);
            add(name + event, model);
        };
        if (!instance.call_) {
            changed(" acts", [&](LeaseModel& model, Instance& changedInstance) {
                const std::string acquisitionId = name + std::to_string(changedInstance.acquisitions_);
                const LeaseStep step = changedInstance.lease_.next(now(index), acquisitionId);
                if (std::holds_alternative<WaitForLease>(step))
                    return;
                if (std::holds_alternative<AcquireLease>(step))
                    ++changedInstance.acquisitions_;
                changedInstance.call_ = Call { step, now(index), false, false, 0, {} };
                (void)model;
            });
        } else if (!instance.call_->isExecuted_) {
            changed("'s call takes effect", [](LeaseModel& model, Instance& changedInstance) { model.executeCall(*changedInstance.call_); });
        }
        // Only writes are lost: a lost read is the same as a later read.
        const bool canLose = lossesLeft_ > 0 && instance.call_ && !std::holds_alternative<ReadControlRows>(instance.call_->step_);
        if (canLose && !instance.call_->isExecuted_) {
            changed("'s call times out", [&](LeaseModel& model, Instance& changedInstance) {
                --model.lossesLeft_;
                model.abandonedCalls_.push_back(*changedInstance.call_);
                changedInstance.call_.reset();
                changedInstance.lease_.failed(now(index));
            });
        }
        if (instance.call_ && instance.call_->isExecuted_)
            changed(" gets its answer", [&](LeaseModel& model, Instance&) { model.receiveAnswer(index); });
        if (canLose && instance.call_->isExecuted_) {
            changed(" loses its answer", [&](LeaseModel& model, Instance& changedInstance) {
                --model.lossesLeft_;
                changedInstance.call_.reset();
                changedInstance.lease_.failed(now(index));
            });
        }
        if (startsLeft_ > 0 && !instance.start_ && instance.lease_.isHeldAt(now(index)))
            changed(" sends a start", [](LeaseModel& model, Instance& changedInstance) { model.sendStart(changedInstance); });
        if (instance.start_)
            changed("'s start arrives", [](LeaseModel& model, Instance& changedInstance) { model.receiveStart(changedInstance); });
    }

    LeaseFault fault_;
    std::array<int, 3> rates_;
    int coarseLeft_;
    int fineLeft_;
    int lossesLeft_;
    int startsLeft_;
    Duration::rep trueTime_ = 0;
    ControlRows rows_;
    std::uint64_t revision_ = 0;
    std::vector<Instance> instances_;
    std::vector<Call> abandonedCalls_;
    std::string violation_;
};

}
