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

/** Faults that are put into the protocol on purpose. */
enum class PermitFault {
    None,
    PermitFromAnswer,
    StartNotBounded,
    DoneWithoutWaiting,
    AcknowledgesWithStartsInFlight,
    TakesOldRows,
};

/**
 * The holder of a data centre, the instance that an operator talks to, the
 * service row and one worker. The holder's two reads at a time are answered in
 * any order; starts arrive at any time.
 */
class PermitWorld {
public:
    struct Size {
        /** Rates of the holder, the operator's instance and the worker, in thousandths. */
        std::array<int, 3> ratesPerMille_;
        /** Changes of the service row: out, in again, out again. */
        int writes_ = 1;
        int starts_ = 2;
        int reads_ = 3;
    };

    PermitWorld(PermitFault fault, const Size& size)
        : fault_(fault)
        , rates_(size.ratesPerMille_)
        , writesLeft_(size.writes_)
        , startsLeft_(size.starts_)
        , readsLeft_(size.reads_)
        , permit_(timing().startPermit_)
        , watch_(timing())
    {
        clock_.observed(0, now(0));
    }

    std::string text() const
    {
        std::string text = std::to_string(real_) + ' ' + std::to_string(writesLeft_) + ' ' + std::to_string(startsLeft_) + ' ' + std::to_string(readsLeft_) + ' ' + rowText(rows_)
            + '|' + std::to_string(timeText(permit_.until())) + ' ' + std::to_string(timeText(permit_.lastGiven())) + ' ' + std::to_string(permit_.serviceVersion()) + (permit_.isTakenOut() ? "out" : "in")
            + '|' + std::to_string(doneVersion_) + ' ' + std::to_string(watchedVersion_) + ' ' + std::to_string(timeText(watchedSince_)) + '|' + std::to_string(inFlight_) + violation_;
        for (const Read& read : reads_)
            text += "|read " + std::to_string(timeText(read.sentAt_)) + (read.rows_ ? rowText(*read.rows_) : "");
        for (const Start& start : starts_)
            text += "|start " + std::to_string(start.before_);
        return text;
    }

    std::string violation() const { return violation_; }

    std::vector<ModelStep<PermitWorld>> steps() const
    {
        std::vector<ModelStep<PermitWorld>> steps;
        const auto add = [&](const std::string& event, auto change) {
            PermitWorld world = *this;
            change(world);
            steps.push_back({ event, world });
        };
        if (real_ < lastMoment)
            add("time passes", [](PermitWorld& world) { world.real_ += timeStep; });
        addHolderSteps(add);
        if (writesLeft_ > 0)
            add("an operator's change takes effect", [](PermitWorld& world) { world.change(); });
        add("the operator's instance looks", [](PermitWorld& world) { world.look(); });
        for (std::size_t i = 0; i < starts_.size(); ++i)
            add("a start arrives", [i](PermitWorld& world) { world.takeStart(i); });
        return steps;
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
    static constexpr Duration::rep lastMoment = 6 * timeStep;

    static ControlTiming timing()
    {
        ControlTiming timing;
        timing.startPermit_ = Duration(1'000'000);
        return timing;
    }

    static std::string rowText(const ControlRows& rows)
    {
        return (rows.service_.isInService_ ? "in" : "out") + std::to_string(rows.serviceVersion_) + ',' + std::to_string(rows.acknowledgement_.serviceVersion_);
    }

    static Duration::rep timeText(Time time) { return time.time_since_epoch().count(); }

    /** Clocks: 0 the holder's, 1 the operator's instance's, 2 the worker's. */
    Time now(int clock) const { return Time(Duration(real_ * rates_[static_cast<std::size_t>(clock)] / 1000)); }

    template <typename Add>
    void addHolderSteps(const Add& add) const
    {
        if (reads_.size() < 2 && readsLeft_ > 0)
            add("the holder asks", [](PermitWorld& world) {
                --world.readsLeft_;
                world.reads_.push_back({ world.now(0), std::nullopt });
            });
        for (std::size_t i = 0; i < reads_.size(); ++i) {
            if (!reads_[i].rows_)
                add("the table answers", [i](PermitWorld& world) { world.reads_[i].rows_ = world.rows_; });
            else
                add("the holder gets an answer", [i](PermitWorld& world) { world.takeAnswer(i); });
        }
        if (startsLeft_ > 0 && permit_.allowsAt(now(0)))
            add("the holder sends a start", [](PermitWorld& world) { world.sendStart(); });
        const int inFlight = fault_ == PermitFault::AcknowledgesWithStartsInFlight ? 0 : inFlight_;
        const bool isDue = permit_.canAcknowledgeAt(now(0), inFlight) && rows_.acknowledgement_.serviceVersion_ < permit_.serviceVersion();
        if (isDue)
            add("the holder acknowledges", [](PermitWorld& world) { world.rows_.acknowledgement_.serviceVersion_ = world.permit_.serviceVersion(); });
    }

    void takeAnswer(std::size_t index)
    {
        const Read read = reads_[index];
        reads_.erase(reads_.begin() + static_cast<std::ptrdiff_t>(index));
        const Time countedFrom = fault_ == PermitFault::PermitFromAnswer ? now(0) : read.sentAt_;
        // The faulty variant believes the answer that came last.
        if (fault_ == PermitFault::TakesOldRows && read.rows_->serviceVersion_ < permit_.serviceVersion())
            permit_ = StartPermit(timing().startPermit_);
        permit_.confirmed(countedFrom, read.rows_->serviceVersion_, read.rows_->service_.isInService_);
    }

    void change()
    {
        --writesLeft_;
        rows_.service_.isInService_ = !rows_.service_.isInService_;
        ++rows_.serviceVersion_;
        doneVersion_ = 0;
    }

    /** The operator's instance reads the rows, at once, and says 'done' if it may. */
    void look()
    {
        if (rows_.serviceVersion_ > watchedVersion_) {
            watchedVersion_ = rows_.serviceVersion_;
            watchedSince_ = now(1);
        }
        watch_.known(rows_.serviceVersion_, now(1));
        const bool isOut = !rows_.service_.isInService_;
        const bool isHasty = fault_ == PermitFault::DoneWithoutWaiting && isOut;
        if (isHasty || watch_.progress(rows_, now(1)) == ServiceProgress::Done)
            doneVersion_ = rows_.serviceVersion_;
    }

    void sendStart()
    {
        --startsLeft_;
        ++inFlight_;
        const auto before = clock_.startBefore(permit_.until());
        const std::int64_t unbounded = now(2).time_since_epoch().count() + timing().startPermit_.count();
        if (before)
            starts_.push_back({ fault_ == PermitFault::StartNotBounded ? unbounded : *before });
        else
            --inFlight_;
    }

    void takeStart(std::size_t index)
    {
        const Start start = starts_[index];
        starts_.erase(starts_.begin() + static_cast<std::ptrdiff_t>(index));
        --inFlight_;
        if (timeText(now(2)) <= start.before_ && doneVersion_ != 0)
            violation_ = "a task started after 'done'";
    }

    PermitFault fault_;
    std::array<int, 3> rates_;
    Duration::rep real_ = 0;
    int writesLeft_;
    int startsLeft_;
    int readsLeft_;
    ControlRows rows_;
    StartPermit permit_;
    ServiceWatch watch_;
    WorkerClock clock_;
    std::vector<Read> reads_;
    std::vector<Start> starts_;
    int inFlight_ = 0;
    std::uint64_t watchedVersion_ = 0;
    Time watchedSince_ { Duration::zero() };
    /** The newest take-out that was called done; 0 once the data centre may be in service again. */
    std::uint64_t doneVersion_ = 0;
    std::string violation_;
};

}
