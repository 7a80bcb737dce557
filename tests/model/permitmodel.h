#pragma once

#include "control/clockdrift.h"
#include "control/servicewatch.h"
#include "control/startpermit.h"
#include "control/workerclock.h"
#include "model/explorer.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/** Faults injected into the protocol, to show that the model finds them. */
enum class PermitFault {
    None,
    PermitFromAnswer,
    StartNotBounded,
    DoneWithoutWaiting,
    AcknowledgesWithStartsInFlight,
    AcceptsStaleRows,
};

/**
 * Model of the start permit: the lease holder of a data centre, the instance
 * that serves the operator, the service row and one worker. The holder has up to
 * two reads in flight, answered in any order; starts arrive at any time.
 */
class PermitModel {
public:
    struct Size {
        /** Clock rates of the holder, the operator's instance and the worker, in thousandths. */
        std::array<int, 3> ratesPerMille_;
        /** Changes of the service row, which alternate between out of service and in service. */
        int writes_ = 1;
        int starts_ = 2;
        int reads_ = 3;
    };

    PermitModel(PermitFault fault, const Size& size)
        : fault_(fault)
        , rates_(size.ratesPerMille_)
        , writesLeft_(size.writes_)
        , startsLeft_(size.starts_)
        , readsLeft_(size.reads_)
        , permit_(timing().startPermitDuration_)
        , watch_(timing())
    {
        workerClock_.observed(0, now(0));
    }

    std::string text() const
    {
        std::string text = std::to_string(trueTime_) + ' ' + std::to_string(writesLeft_) + ' ' + std::to_string(startsLeft_) + ' ' + std::to_string(readsLeft_) + ' ' + rowText(rows_)
            + '|' + std::to_string(micros(permit_.expiresAt())) + ' ' + std::to_string(micros(permit_.latestExpiry())) + ' ' + std::to_string(permit_.serviceVersion()) + (permit_.isTakenOut() ? "out" : "in")
            + '|' + std::to_string(doneVersion_) + ' ' + std::to_string(watchedVersion_) + ' ' + std::to_string(micros(watchedSince_)) + '|' + std::to_string(inFlight_) + violation_;
        for (const Read& read : reads_)
            text += "|read " + std::to_string(micros(read.sentAt_)) + (read.rows_ ? rowText(*read.rows_) : "");
        for (const Start& start : starts_)
            text += "|start " + std::to_string(start.before_);
        return text;
    }

    std::string violation() const { return violation_; }

    std::vector<Transition<PermitModel>> transitions() const
    {
        std::vector<Transition<PermitModel>> transitions;
        const auto add = [&](const std::string& event, auto change) {
            PermitModel model = *this;
            change(model);
            transitions.push_back({ event, model });
        };
        if (trueTime_ < maxTime)
            add("time passes", [](PermitModel& model) { model.trueTime_ += timeStep; });
        addHolderSteps(add);
        if (writesLeft_ > 0)
            add("an operator's change takes effect", [](PermitModel& model) { model.change(); });
        add("the operator's instance polls", [](PermitModel& model) { model.pollStatus(); });
        for (std::size_t i = 0; i < starts_.size(); ++i)
            add("a start arrives", [i](PermitModel& model) { model.receiveStart(i); });
        return transitions;
    }

private:
    struct Read {
        Time sentAt_;
        std::optional<ControlRows> rows_;
    };

    struct Start {
        std::int64_t before_ = 0;
    };

    static constexpr Duration::rep timeStep = 333'500;
    static constexpr Duration::rep maxTime = 6 * timeStep;

    static ControlTiming timing()
    {
        ControlTiming timing;
        timing.startPermitDuration_ = Duration(1'000'000);
        return timing;
    }

    static std::string rowText(const ControlRows& rows)
    {
        return (rows.service_.isInService_ ? "in" : "out") + std::to_string(rows.serviceVersion_) + ',' + std::to_string(rows.acknowledgement_.serviceVersion_);
    }

    static Duration::rep micros(Time time) { return time.time_since_epoch().count(); }

    /** Reads a clock: 0 is the holder, 1 the operator's instance, 2 the worker. */
    Time now(int clock) const { return Time(Duration(trueTime_ * rates_[static_cast<std::size_t>(clock)] / 1000)); }

    template <typename Add>
    void addHolderSteps(const Add& add) const
    {
        if (reads_.size() < 2 && readsLeft_ > 0)
            add("the holder sends a read", [](PermitModel& model) {
                --model.readsLeft_;
                model.reads_.push_back({ model.now(0), std::nullopt });
            });
        for (std::size_t i = 0; i < reads_.size(); ++i) {
            if (!reads_[i].rows_)
                add("the table answers", [i](PermitModel& model) { model.reads_[i].rows_ = model.rows_; });
            else
                add("the holder gets an answer", [i](PermitModel& model) { model.receiveAnswer(i); });
        }
        if (startsLeft_ > 0 && permit_.allowsAt(now(0)))
            add("the holder sends a start", [](PermitModel& model) { model.sendStart(); });
        const int inFlight = fault_ == PermitFault::AcknowledgesWithStartsInFlight ? 0 : inFlight_;
        const bool isDue = permit_.canAcknowledgeAt(now(0), inFlight) && rows_.acknowledgement_.serviceVersion_ < permit_.serviceVersion();
        if (isDue)
            add("the holder acknowledges", [](PermitModel& model) { model.rows_.acknowledgement_.serviceVersion_ = model.permit_.serviceVersion(); });
    }

    void receiveAnswer(std::size_t index)
    {
        const Read read = reads_[index];
        reads_.erase(reads_.begin() + static_cast<std::ptrdiff_t>(index));
        const Time validFrom = fault_ == PermitFault::PermitFromAnswer ? now(0) : read.sentAt_;
        // The injected fault accepts the last answer even if it is older.
        if (fault_ == PermitFault::AcceptsStaleRows && read.rows_->serviceVersion_ < permit_.serviceVersion())
            permit_ = StartPermit(timing().startPermitDuration_);
        permit_.confirmed(validFrom, read.rows_->serviceVersion_, read.rows_->service_.isInService_);
    }

    void change()
    {
        --writesLeft_;
        rows_.service_.isInService_ = !rows_.service_.isInService_;
        ++rows_.serviceVersion_;
        doneVersion_ = 0;
    }

    /** The operator's instance reads the rows and reports 'done' if the progress allows it. */
    void pollStatus()
    {
        if (rows_.serviceVersion_ > watchedVersion_) {
            watchedVersion_ = rows_.serviceVersion_;
            watchedSince_ = now(1);
        }
        watch_.noteVersion(rows_.serviceVersion_, now(1));
        const bool isOut = !rows_.service_.isInService_;
        const bool skipsWait = fault_ == PermitFault::DoneWithoutWaiting && isOut;
        if (skipsWait || watch_.progress(rows_, now(1)) == ServiceProgress::Done)
            doneVersion_ = rows_.serviceVersion_;
    }

    void sendStart()
    {
        --startsLeft_;
        ++inFlight_;
        const auto before = workerClock_.startBefore(permit_.expiresAt());
        const std::int64_t unbounded = now(2).time_since_epoch().count() + timing().startPermitDuration_.count();
        if (before)
            starts_.push_back({ fault_ == PermitFault::StartNotBounded ? unbounded : *before });
        else
            --inFlight_;
    }

    void receiveStart(std::size_t index)
    {
        const Start start = starts_[index];
        starts_.erase(starts_.begin() + static_cast<std::ptrdiff_t>(index));
        --inFlight_;
        if (micros(now(2)) <= start.before_ && doneVersion_ != 0)
            violation_ = "a task started after the data centre was reported out of service";
    }

    PermitFault fault_;
    std::array<int, 3> rates_;
    Duration::rep trueTime_ = 0;
    int writesLeft_;
    int startsLeft_;
    int readsLeft_;
    ControlRows rows_;
    StartPermit permit_;
    ServiceWatch watch_;
    WorkerClock workerClock_;
    std::vector<Read> reads_;
    std::vector<Start> starts_;
    int inFlight_ = 0;
    std::uint64_t watchedVersion_ = 0;
    Time watchedSince_ { Duration::zero() };
    /** Version of the newest change out of service that was reported done; 0 after a later change. */
    std::uint64_t doneVersion_ = 0;
    std::string violation_;
};

}
