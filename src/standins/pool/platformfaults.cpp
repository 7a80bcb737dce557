#include "platformfaults.h"

#include "checkedobject.h"

namespace fescuecleat {

namespace {

    constexpr std::int64_t maxDelayMs = 600000;
    constexpr std::int64_t maxCalls = 1000000;

    StoreMode readMode(CheckedObject& object, StoreMode current)
    {
        const auto name = object.text("mode");
        if (!name)
            return current;
        if (*name == "up")
            return StoreMode::Up;
        if (*name == "silent")
            return StoreMode::Silent;
        if (*name == "refusing")
            return StoreMode::Refusing;
        if (*name == "reset")
            return StoreMode::Reset;
        object.refuse("mode", "must be up, silent, refusing or reset");
    }

    void readStoreFaults(CheckedObject object, PlatformFaults& faults)
    {
        faults.storeMode_ = readMode(object, faults.storeMode_);
        faults.commitDelay_ = std::chrono::milliseconds(object.integer("commitDelayMs", 0, maxDelayMs).value_or(wholeMilliseconds(faults.commitDelay_)));
        faults.areFeedsSilent_ = object.boolean("feedsSilent").value_or(faults.areFeedsSilent_);
        faults.areFeedsRefused_ = object.boolean("feedsRefused").value_or(faults.areFeedsRefused_);
        faults.refusedParts_ = object.texts("refusedParts", true).value_or(faults.refusedParts_);
        faults.answersToLose_ = static_cast<int>(object.integer("loseAnswers", 0, maxCalls).value_or(0));
        faults.commitsToHoldBack_ = static_cast<int>(object.integer("holdBackCommits", 0, maxCalls).value_or(0));
        faults.dropsHistory_ = object.boolean("dropHistory").value_or(false);
        object.refuseOthers();
    }

    void readDeliveryFaults(CheckedObject object, DeliveryFaults& faults)
    {
        faults.lostRequests_ = object.number("lostRequests", 0, 1).value_or(faults.lostRequests_);
        faults.lostAnswers_ = object.number("lostAnswers", 0, 1).value_or(faults.lostAnswers_);
        faults.lateRequests_ = object.number("lateRequests", 0, 1).value_or(faults.lateRequests_);
        faults.refusedStarts_ = object.number("refusedStarts", 0, 1).value_or(faults.refusedStarts_);
        faults.maxDelay_ = std::chrono::milliseconds(object.integer("maxDelayMs", 1, maxDelayMs).value_or(wholeMilliseconds(faults.maxDelay_)));
        object.refuseOthers();
    }

}

Result<PlatformFaults> parsePlatformFaults(const nlohmann::json& json, const PlatformFaults& current)
{
    try {
        PlatformFaults faults = current;
        faults.answersToLose_ = 0;
        faults.commitsToHoldBack_ = 0;
        faults.dropsHistory_ = false;
        CheckedObject object(json, {});
        if (const auto store = object.object("store"))
            readStoreFaults(*store, faults);
        if (const auto workers = object.object("workers"))
            readDeliveryFaults(*workers, faults.delivery_);
        object.refuseOthers();
        return faults;
    } catch (const nlohmann::json::exception& error) {
        return failure(ErrorKind::InvalidSyntax, error.what(), "correct the named member");
    }
}

}
