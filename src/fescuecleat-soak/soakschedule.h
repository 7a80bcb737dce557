#pragma once

#include "base/result.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace fescuecleat::soak {

using Milliseconds = std::chrono::milliseconds;

/** What a proxy does with the bytes of a link. */
enum class LinkMode {
    Forward,
    /** Each piece of data is passed on later. */
    Delay,
    /** Connections are reset, also new ones. */
    Reset,
    /** Data is held back until the mode ends. */
    Silent,
    /** What the connecting side sends is lost. */
    DropUpstream,
    /** What the accepting side sends is lost. */
    DropDownstream,
};

/** In a list of instances: the one that schedules when the action begins. */
constexpr int currentScheduler = -1;

/** Ends instances and starts them again. */
struct RestartInstances {
    std::vector<int> instances_;
    /** SIGKILL instead of SIGTERM. */
    bool isKilled_ = false;
    /** Each instance is back before the next one ends. */
    bool isRolling_ = false;
    Milliseconds downtime_ {};
};

/** Suspends instances with SIGSTOP. */
struct PauseInstances {
    std::vector<int> instances_;
    Milliseconds duration_ {};
};

/** Disturbs the links between instances and the store, or between callers and instances. */
struct DisturbLinks {
    std::vector<int> instances_;
    bool isStoreLink_ = false;
    LinkMode mode_ = LinkMode::Forward;
    Milliseconds delay_ {};
    Milliseconds duration_ {};
};

/** Faults of the stand-in itself, as its control interface describes them. */
struct DisturbPlatform {
    /** What the faults concern: "store" or "workers". */
    std::string part_;
    nlohmann::json faults_;
    Milliseconds duration_ {};
};

/** Restarts a worker, perhaps as another kind. */
struct RestartWorker {
    int worker_ = 0;
    Milliseconds downtime_ {};
    std::string label_;
    /** Empty if the worker keeps its service. */
    std::string service_;
};

/** Takes a worker out of the registry while it runs on. */
struct HideWorker {
    int worker_ = 0;
    Milliseconds duration_ {};
};

/** Shrinks a worker that runs on, for a while. */
struct ResizeWorker {
    int worker_ = 0;
    int accelerators_ = 0;
    Milliseconds duration_ {};
};

/** Applies another configuration for a while. */
struct ChangeConfiguration {
    /** Queue that moves to the other service; -1 for none. */
    int movedQueue_ = -1;
    /** Organisation whose key is withdrawn; -1 for none. */
    int withdrawnKey_ = -1;
    Milliseconds duration_ {};
};

/** Closes a data centre to new starts. */
struct CloseDataCentre {
    std::string dataCentre_;
    Milliseconds duration_ {};
};

using Action = std::variant<RestartInstances, PauseInstances, DisturbLinks, DisturbPlatform, RestartWorker, HideWorker, ResizeWorker, ChangeConfiguration, CloseDataCentre>;

/** An action and the time from the start of the schedule at which it begins. */
struct TimedAction {
    Milliseconds at_ {};
    Action action_;
};

/** Sizes of the deployment that a schedule is for. */
struct SoakSize {
    int instances_ = 12;
    int workers_ = 24;
    Milliseconds duration_ = std::chrono::seconds(20);
};

/** The deployment and the timed actions of one run. */
struct SoakSchedule {
    std::uint32_t seed_ = 0;
    SoakSize size_;
    std::vector<TimedAction> actions_;
    /** Why a schedule is kept for regression; empty otherwise. */
    std::string cause_;
};

/** Names of the deployment that schedules refer to. */
inline const std::vector<std::string> dataCentres { "north", "south", "west" };
inline const std::vector<std::string> services { "rilievo", "tariff-desk" };
constexpr int workerAccelerators = 8;
constexpr int queueCount = 3;
constexpr int organisationCount = 3;

/** Draws a schedule; equal arguments give equal schedules. */
SoakSchedule drawSchedule(std::uint32_t seed, const SoakSize&);

nlohmann::json encodeSchedule(const SoakSchedule&);
Result<SoakSchedule> parseSchedule(const std::string& text);
/** One line for logs. */
std::string describe(const TimedAction&);

}
