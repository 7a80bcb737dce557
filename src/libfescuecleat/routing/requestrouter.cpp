#include "routing/requestrouter.h"

#include "base/overloaded.h"
#include "routing/minionprotocol.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Expired requests are refused, and held slots freed, within this time. */
    constexpr Duration tickInterval { std::chrono::milliseconds(20) };
    /** Limit for the dispatches of one request, including retries. */
    constexpr int maxDispatches = 4;
    /** A minion may continue work after its connection broke, so the slot counts as busy for this long. */
    constexpr Duration unansweredSlotHold { std::chrono::seconds(1) };
    /** A repeated call waits this long for the recorded answer of the first one. */
    constexpr Duration recordedAnswerTimeout { std::chrono::seconds(2) };
    constexpr Duration recordedAnswerPollInterval { std::chrono::milliseconds(100) };
    /** How often a minion that was reported as leaving while the list shows it in service is polled. */
    constexpr Duration leavingPollInterval { std::chrono::seconds(2) };
    constexpr Duration healthCheckTimeout { std::chrono::milliseconds(500) };
    /** Refusals outside the dispatcher ask for a retry within [minRetryDelay, minRetryDelay + jitter). */
    constexpr Duration minRetryDelay { std::chrono::milliseconds(500) };
    constexpr std::uint64_t retryJitterMicroseconds = 2'000'000;
    constexpr int minServerErrorStatus = 500;
    constexpr double microsecondsPerMillisecond = 1000;

    HealthSignal healthSignalOf(const AttemptResult& result, bool isDeadlineReached)
    {
        return std::visit(Overloaded {
                              [](const CompleteAnswer& answer) {
                                  return answer.response_.status_ >= minServerErrorStatus ? HealthSignal::Failure : HealthSignal::Success;
                              },
                              [](const NotStarted&) { return HealthSignal::Neutral; },
                              [](const NotSent&) { return HealthSignal::Failure; },
                              [&](const UnusableAnswer&) { return isDeadlineReached ? HealthSignal::TimedOut : HealthSignal::Failure; } },
            result);
    }

    bool isNotRun(const AttemptResult& result)
    {
        return std::holds_alternative<NotStarted>(result) || std::holds_alternative<NotSent>(result);
    }

    std::string reasonOf(const AttemptResult& result)
    {
        return std::visit(Overloaded {
                              [](const CompleteAnswer&) { return std::string("the minion answered with a server error"); },
                              [](const NotStarted&) { return std::string("the minion refused the request without starting it"); },
                              [](const NotSent& notSent) { return "the minion could not be reached: " + notSent.message_; },
                              [](const UnusableAnswer& unusable) { return unusable.message_; } },
            result);
    }

    std::string uniqueName(const RouterIdentity& identity)
    {
        return identity.instance_.value() + "-" + std::to_string(identity.seed_);
    }

    double milliseconds(Duration duration)
    {
        return static_cast<double>(duration.count()) / microsecondsPerMillisecond;
    }

    /** Counts a request as in progress during the guard's lifetime. */
    class InProgressGuard {
    public:
        explicit InProgressGuard(std::atomic<std::size_t>& count)
            : count_(count)
        {
            ++count_;
        }
        ~InProgressGuard() { --count_; }
        InProgressGuard(const InProgressGuard&) = delete;
        InProgressGuard& operator=(const InProgressGuard&) = delete;

    private:
        std::atomic<std::size_t>& count_;
    };

}

RequestRouter::Service::Service(const ServiceConfiguration& configuration, DispatcherOptions options, RouterCounters& counters)
    : configuration_(configuration)
    , shard_(std::move(options), counters)
{
}

RequestRouter::RequestRouter(HttpClient& client, Table& table, ObjectStore& objects, RouterIdentity identity)
    : client_(client)
    , identity_(std::move(identity))
    , claims_(table, objects, identity_.instance_.value(), uniqueName(identity_))
    , ticker_([this] { tick(); })
    , leavingPoller_([this] { pollLeavingMinions(); })
{
}

RequestRouter::~RequestRouter()
{
    {
        const std::lock_guard<std::mutex> lock(stopMutex_);
        isStopRequested_ = true;
    }
    stopCondition_.notify_all();
    ticker_.join();
    leavingPoller_.join();
}

RequestOutcome RequestRouter::route(const ServiceRequest& request)
{
    const InProgressGuard guard(inProgress_);
    ++counters_.requests_;
    RequestOutcome outcome = handle(request);
    countOutcome(outcome);
    return outcome;
}

RequestOutcome RequestRouter::handle(const ServiceRequest& request)
{
    if (isStopping_)
        return notRun("this instance is stopping");
    const ServicePointer service = find(request.service_);
    if (!service)
        return notRun("service \"" + request.service_.value() + "\" is not configured");
    if (request.deadline_ <= monotonicNow())
        return notRun("the deadline has passed");
    return request.isIdempotent_ ? runIdempotent(*service, request) : runNonIdempotent(*service, request);
}

RequestOutcome RequestRouter::runIdempotent(Service& service, const ServiceRequest& request)
{
    std::set<MinionId> avoided;
    bool mayHaveRun = false;
    std::string reason;
    for (int dispatches = 0; dispatches < maxDispatches; ++dispatches) {
        const SlotDecision decision = service.shard_.acquire(request, avoided);
        if (const auto* refusal = std::get_if<RefuseRequest>(&decision)) {
            if (mayHaveRun)
                return OutcomeUnknown { reason };
            return NotRun { refusal->reason_, refusal->retryAt_ };
        }
        const auto& send = std::get<SendToMinion>(decision);
        counters_.retries_ += dispatches > 0 ? 1 : 0;
        AttemptResult result = attempt(service, request, send);
        auto* complete = std::get_if<CompleteAnswer>(&result);
        if (complete != nullptr && complete->response_.status_ < minServerErrorStatus) {
            service.shard_.addSuccess();
            return Answered { complete->response_.status_, std::move(complete->response_.headers_), std::move(complete->response_.body_) };
        }
        mayHaveRun = mayHaveRun || !isNotRun(result);
        reason = reasonOf(result);
        avoided.insert(send.minion_.id_);
        const bool mayRetry = monotonicNow() < request.deadline_ && service.shard_.tryTakeRetry();
        if (mayRetry)
            continue;
        ++counters_.retriesDenied_;
        if (complete != nullptr)
            return Answered { complete->response_.status_, std::move(complete->response_.headers_), std::move(complete->response_.body_) };
        break;
    }
    if (mayHaveRun)
        return OutcomeUnknown { reason };
    return notRun(reason);
}

RequestOutcome RequestRouter::runNonIdempotent(Service& service, const ServiceRequest& request)
{
    if (request.idempotencyKey_.empty())
        return notRun("a request that isn't idempotent needs an idempotency key");
    return resolveClaim(claims_.claim(request, request.deadline_), service, request);
}

RequestOutcome RequestRouter::resolveClaim(const ClaimResult& result, Service& service, const ServiceRequest& request)
{
    return std::visit(Overloaded {
                          [&](const ClaimTaken& taken) -> RequestOutcome {
                              ++counters_.claimsTaken_;
                              RequestOutcome outcome = dispatchClaimed(service, request);
                              if (const auto* answered = std::get_if<Answered>(&outcome))
                                  claims_.recordAnswer(taken, *answered, monotonicNow());
                              if (std::holds_alternative<OutcomeUnknown>(outcome))
                                  claims_.recordOutcomeUnknown(taken, monotonicNow());
                              if (std::holds_alternative<NotRun>(outcome))
                                  claims_.release(taken, monotonicNow());
                              return outcome;
                          },
                          [&](const ClaimAnswered& recorded) -> RequestOutcome {
                              ++counters_.claimsRepeated_;
                              return recorded.answer_;
                          },
                          [](const ClaimOutcomeUnknown&) -> RequestOutcome {
                              return OutcomeUnknown { "an earlier call sent the request and its answer was lost; the request may or may not have run" };
                          },
                          [&](const ClaimInProgress&) { return waitForRecordedAnswer(request); },
                          [&](const ClaimMismatch&) -> RequestOutcome { return notRun("the idempotency key was already used for a different request"); },
                          [&](const ClaimFailed& failed) -> RequestOutcome {
                              ++counters_.claimsFailed_;
                              return notRun("the claim could not be written: " + failed.reason_);
                          } },
        result);
}

RequestOutcome RequestRouter::dispatchClaimed(Service& service, const ServiceRequest& request)
{
    std::set<MinionId> avoided;
    std::string reason;
    for (int dispatches = 0; dispatches < maxDispatches; ++dispatches) {
        const SlotDecision decision = service.shard_.acquire(request, avoided);
        if (const auto* refusal = std::get_if<RefuseRequest>(&decision))
            return NotRun { refusal->reason_, refusal->retryAt_ };
        const auto& send = std::get<SendToMinion>(decision);
        AttemptResult result = attempt(service, request, send);
        if (auto* complete = std::get_if<CompleteAnswer>(&result)) {
            service.shard_.addSuccess();
            return Answered { complete->response_.status_, std::move(complete->response_.headers_), std::move(complete->response_.body_) };
        }
        reason = reasonOf(result);
        if (std::holds_alternative<NotStarted>(result))
            return notRun(reason);
        // Another minion may be tried only if the request was certainly not sent.
        if (!std::holds_alternative<NotSent>(result))
            return OutcomeUnknown { reason };
        avoided.insert(send.minion_.id_);
    }
    return notRun(reason);
}

RequestOutcome RequestRouter::waitForRecordedAnswer(const ServiceRequest& request)
{
    const Time pollDeadline = std::min(request.deadline_, monotonicNow() + recordedAnswerTimeout);
    while (monotonicNow() + recordedAnswerPollInterval < pollDeadline) {
        std::this_thread::sleep_for(recordedAnswerPollInterval);
        const ClaimResult result = claims_.lookUp(request, pollDeadline);
        if (const auto* recorded = std::get_if<ClaimAnswered>(&result)) {
            ++counters_.claimsRepeated_;
            return recorded->answer_;
        }
        if (std::holds_alternative<ClaimOutcomeUnknown>(result))
            break;
    }
    return OutcomeUnknown { "an earlier call dispatched the request and its answer is not recorded yet; retry later with the same idempotency key" };
}

AttemptResult RequestRouter::attempt(Service& service, const ServiceRequest& request, const SendToMinion& send)
{
    ++counters_.dispatches_;
    const HttpRequest message = minionRequest(request, send.attemptDeadline_, monotonicNow());
    const auto received = client_.send(send.minion_.address_, message, send.attemptDeadline_, request.isIdempotent_);
    const Time now = monotonicNow();
    AttemptResult result = classifyResponse(request, received);
    AttemptEnded ended;
    ended.ticket_ = send.ticket_;
    const bool isDeadlineReached = now >= request.deadline_;
    ended.healthSignal_ = healthSignalOf(result, isDeadlineReached);
    ended.wasRefused_ = std::holds_alternative<NotStarted>(result);
    ended.slotBusyUntil_ = std::holds_alternative<UnusableAnswer>(result) ? now + unansweredSlotHold : now;
    service.shard_.apply(ended);
    counters_.notStarted_ += ended.wasRefused_ ? 1 : 0;
    counters_.unusableAnswers_ += std::holds_alternative<UnusableAnswer>(result) ? 1 : 0;
    if (received && reportsLeaving(*received))
        recordLeavingMinion(service, send.minion_.id_);
    return result;
}

NotRun RequestRouter::notRun(const std::string& reason)
{
    RandomSource random(identity_.seed_ + ++jitterSequence_);
    const Duration jitter(static_cast<Duration::rep>(random.below(retryJitterMicroseconds)));
    return NotRun { reason, monotonicNow() + minRetryDelay + jitter };
}

void RequestRouter::recordLeavingMinion(Service& service, const MinionId& minion)
{
    service.shard_.apply(LeavingReported { minion });
    const std::lock_guard<std::mutex> lock(leavingMutex_);
    reportedLeaving_.insert(minion);
}

void RequestRouter::countOutcome(const RequestOutcome& outcome)
{
    std::visit(Overloaded {
                   [&](const Answered&) { ++counters_.answered_; },
                   [&](const NotRun&) { ++counters_.notRun_; },
                   [&](const OutcomeUnknown&) { ++counters_.outcomeUnknown_; } },
        outcome);
}

void RequestRouter::configure(const std::vector<ServiceConfiguration>& configurations)
{
    const std::unique_lock<std::shared_mutex> lock(servicesMutex_);
    std::map<ServiceId, ServicePointer> services;
    for (const ServiceConfiguration& configuration : configurations) {
        const auto existing = services_.find(configuration.id_);
        ServicePointer& service = services[configuration.id_];
        if (existing != services_.end() && existing->second->configuration_ == configuration) {
            service = existing->second;
            continue;
        }
        const DispatcherOptions options { identity_.dataCentre_, identity_.seed_, SelectionPolicy::TwoRandomChoices };
        service = std::make_shared<Service>(configuration, options, counters_);
        applyMinions(*service, listed_);
    }
    services_ = std::move(services);
}

void RequestRouter::setMinions(const std::vector<ListedInstance>& instances)
{
    const std::unique_lock<std::shared_mutex> lock(servicesMutex_);
    listed_ = instances;
    std::set<MinionId> present;
    for (const ListedInstance& instance : instances) {
        if (instance.role_ == InstanceRole::Minion && !instance.isLeaving_)
            present.insert(MinionId(instance.id_));
    }
    for (const auto& [id, service] : services_)
        applyMinions(*service, listed_);
    // Peers need no report of a minion that the list no longer shows in service.
    const std::lock_guard<std::mutex> leavingLock(leavingMutex_);
    for (auto minion = reportedLeaving_.begin(); minion != reportedLeaving_.end();)
        minion = present.count(*minion) == 0 ? reportedLeaving_.erase(minion) : std::next(minion);
}

void RequestRouter::applyMinions(Service& service, const std::vector<ListedInstance>& instances)
{
    MinionsListed listed;
    AllowancesChanged allowances;
    for (const ListedInstance& instance : instances) {
        if (instance.role_ != InstanceRole::Minion || instance.group_ != service.configuration_.id_.value())
            continue;
        const MinionId id(instance.id_);
        listed.minions_.push_back({ id, instance.dataCentre_, instance.address_, instance.isLeaving_ });
        allowances.allowances_[id].ownSlots_ = service.configuration_.slotsPerMinion_;
    }
    service.shard_.apply(listed);
    if (!isSharing_)
        service.shard_.apply(allowances);
}

void RequestRouter::beginSharing()
{
    isSharing_ = true;
    setAllowances({});
}

void RequestRouter::setAllowances(const std::map<MinionId, SlotAllowance>& allowances)
{
    for (const ServicePointer& service : services())
        service->shard_.apply(AllowancesChanged { allowances });
}

SlotUsage RequestRouter::slotUsage() const
{
    SlotUsage usage;
    for (const ServicePointer& service : services()) {
        for (const MinionSummary& minion : service->shard_.minionSummaries()) {
            const int slots = service->configuration_.slotsPerMinion_;
            usage.minions_[minion.minion_.id_] = { minion.minion_.dataCentre_, slots, minion.busy_ };
        }
        usage.waitingRequests_ += service->shard_.summary().wantedSlots_;
    }
    return usage;
}

void RequestRouter::markLeaving(const MinionId& minion)
{
    for (const ServicePointer& service : services())
        service->shard_.apply(LeavingReported { minion });
}

std::set<MinionId> RequestRouter::leavingMinions() const
{
    const std::lock_guard<std::mutex> lock(leavingMutex_);
    return reportedLeaving_;
}

void RequestRouter::beginStop()
{
    isStopping_ = true;
}

std::size_t RequestRouter::inProgress() const
{
    return inProgress_ + claims_.pending();
}

RequestRouter::ServicePointer RequestRouter::find(const ServiceId& id) const
{
    const std::shared_lock<std::shared_mutex> lock(servicesMutex_);
    const auto found = services_.find(id);
    return found == services_.end() ? nullptr : found->second;
}

std::vector<RequestRouter::ServicePointer> RequestRouter::services() const
{
    const std::shared_lock<std::shared_mutex> lock(servicesMutex_);
    std::vector<ServicePointer> all;
    all.reserve(services_.size());
    for (const auto& [id, service] : services_)
        all.push_back(service);
    return all;
}

void RequestRouter::tick()
{
    std::unique_lock<std::mutex> lock(stopMutex_);
    while (!stopCondition_.wait_for(lock, tickInterval, [&] { return isStopRequested_; })) {
        for (const ServicePointer& service : services())
            service->shard_.apply(ClockTick {});
    }
}

void RequestRouter::pollLeavingMinions()
{
    std::unique_lock<std::mutex> lock(stopMutex_);
    while (!stopCondition_.wait_for(lock, leavingPollInterval, [&] { return isStopRequested_; })) {
        lock.unlock();
        for (const ServicePointer& service : services()) {
            for (const MinionSummary& minion : service->shard_.minionSummaries()) {
                if (!minion.isLeavingUnconfirmed_ || !confirmsStaying(minion.minion_))
                    continue;
                service->shard_.apply(StayingConfirmed { minion.minion_.id_ });
                const std::lock_guard<std::mutex> leavingLock(leavingMutex_);
                reportedLeaving_.erase(minion.minion_.id_);
            }
        }
        lock.lock();
    }
}

bool RequestRouter::confirmsStaying(const Minion& minion)
{
    HttpRequest request;
    request.path_ = "/v1/health";
    const auto answer = client_.send(minion.address_, request, monotonicNow() + healthCheckTimeout, true);
    if (!answer || reportsLeaving(*answer))
        return false;
    const Result<JsonValue> health = parseJson(answer->body_, "health");
    bool isLeaving = true;
    return health && health->getMember("leaving", isLeaving) && !isLeaving;
}

JsonValue RequestRouter::dumpCounters() const
{
    JsonValue value = jsonObject();
    value.addMember("requests") <<= counters_.requests_.load();
    value.addMember("answered") <<= counters_.answered_.load();
    value.addMember("not_run") <<= counters_.notRun_.load();
    value.addMember("outcome_unknown") <<= counters_.outcomeUnknown_.load();
    value.addMember("dispatches") <<= counters_.dispatches_.load();
    value.addMember("retries") <<= counters_.retries_.load();
    value.addMember("retries_denied") <<= counters_.retriesDenied_.load();
    value.addMember("not_started") <<= counters_.notStarted_.load();
    value.addMember("unusable_answers") <<= counters_.unusableAnswers_.load();
    value.addMember("claims_taken") <<= counters_.claimsTaken_.load();
    value.addMember("claims_repeated") <<= counters_.claimsRepeated_.load();
    value.addMember("claims_impossible") <<= counters_.claimsFailed_.load();
    value.addMember("ejections") <<= counters_.ejections_.load();
    value.addMember("departures") <<= counters_.departures_.load();
    return value;
}

JsonValue RequestRouter::dump() const
{
    JsonValue value = jsonObject();
    value.addMember("in_progress") <<= inProgress_.load();
    value.addMember("claims_pending") <<= claims_.pending();
    value.addMember("stopping") <<= isStopping_.load();
    JsonValue& counters = value.addMember("counters");
    counters = dumpCounters();
    counters.setName("counters");
    JsonValue& list = value.addMember("services");
    list.setCategory(JsonValue::Array);
    for (const ServicePointer& service : services()) {
        const DispatcherSummary summary = service->shard_.summary();
        JsonValue& entry = list.addMember();
        entry.setCategory(JsonValue::Object);
        entry.addMember("service") <<= service->configuration_.id_.value();
        entry.addMember("waiting") <<= summary.waiting_;
        entry.addMember("busy_slots") <<= summary.busySlots_;
        entry.addMember("allowed_slots") <<= summary.allowedSlots_;
        entry.addMember("mean_service_ms") <<= milliseconds(summary.meanServiceTime_);
        JsonValue& minions = entry.addMember("minions");
        minions.setCategory(JsonValue::Array);
        for (const MinionSummary& minion : service->shard_.minionSummaries()) {
            JsonValue& member = minions.addMember();
            member.setCategory(JsonValue::Object);
            member.addMember("minion") <<= minion.minion_.id_.value();
            member.addMember("data_centre") <<= minion.minion_.dataCentre_.value();
            member.addMember("condition") <<= minion.condition_;
            member.addMember("busy") <<= minion.busy_;
            member.addMember("allowed") <<= minion.allowed_;
            member.addMember("mean_ms") <<= milliseconds(minion.meanLatency_);
        }
    }
    return value;
}

}
