#include "routing/requestrouter.h"

#include "base/overloaded.h"
#include "routing/minionprotocol.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    /** Expired requests are answered, and kept slots freed, within this time. */
    constexpr Duration tickTime { std::chrono::milliseconds(20) };
    /** Dispatches of one request, whatever their reasons. */
    constexpr int mostDispatches = 4;
    /** A minion may go on with work whose connection broke; its slot counts as busy this long. */
    constexpr Duration slotQuarantine { std::chrono::seconds(1) };
    /** A repeated call waits this long for the first one's answer. */
    constexpr Duration recordPatience { std::chrono::seconds(2) };
    constexpr Duration recordPollTime { std::chrono::milliseconds(100) };
    /** A minion that said it leaves while the list shows it in service is asked this often whether it still does. */
    constexpr Duration leavingPollTime { std::chrono::seconds(2) };
    constexpr Duration healthTime { std::chrono::milliseconds(500) };
    /** Refusals that know no queue ask callers back within [shortest, shortest + spread). */
    constexpr Duration shortestReturn { std::chrono::milliseconds(500) };
    constexpr std::uint64_t returnSpreadMicroseconds = 2'000'000;
    constexpr int firstServerError = 500;
    constexpr double microsecondsPerMillisecond = 1000;

    AttemptVerdict verdictOf(const AttemptResult& result, bool isCutShort)
    {
        return std::visit(Overloaded {
                              [](const WholeAnswer& answer) {
                                  return answer.response_.status_ >= firstServerError ? AttemptVerdict::Bad : AttemptVerdict::Good;
                              },
                              [](const NotStarted&) { return AttemptVerdict::Neutral; },
                              [](const NeverSent&) { return AttemptVerdict::Bad; },
                              [&](const NoUsableAnswer&) { return isCutShort ? AttemptVerdict::TimedOut : AttemptVerdict::Bad; } },
            result);
    }

    bool provesNotRun(const AttemptResult& result)
    {
        return std::holds_alternative<NotStarted>(result) || std::holds_alternative<NeverSent>(result);
    }

    std::string reasonOf(const AttemptResult& result)
    {
        return std::visit(Overloaded {
                              [](const WholeAnswer&) { return std::string("the minion answered with a server error"); },
                              [](const NotStarted&) { return std::string("the minion did not start it"); },
                              [](const NeverSent& never) { return "the minion could not be reached: " + never.message_; },
                              [](const NoUsableAnswer& none) { return none.message_; } },
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

    /** Counts a request as in progress as long as it lives. */
    class ProgressGuard {
    public:
        explicit ProgressGuard(std::atomic<std::size_t>& count)
            : count_(count)
        {
            ++count_;
        }
        ~ProgressGuard() { --count_; }
        ProgressGuard(const ProgressGuard&) = delete;
        ProgressGuard& operator=(const ProgressGuard&) = delete;

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
    , leavingWatcher_([this] { watchLeaving(); })
{
}

RequestRouter::~RequestRouter()
{
    {
        const std::lock_guard<std::mutex> lock(tickMutex_);
        isTickStopping_ = true;
    }
    tickStop_.notify_all();
    ticker_.join();
    leavingWatcher_.join();
}

RequestOutcome RequestRouter::route(const ServiceRequest& request)
{
    const ProgressGuard guard(inProgress_);
    ++counters_.requests_;
    RequestOutcome outcome = decide(request);
    count(outcome);
    return outcome;
}

RequestOutcome RequestRouter::decide(const ServiceRequest& request)
{
    if (isStopping_)
        return notRun("this instance is stopping");
    const ServicePointer service = find(request.service_);
    if (!service)
        return notRun("no such service is configured");
    if (request.deadline_ <= monotonicNow())
        return notRun("the deadline has passed");
    return request.isIdempotent_ ? runIdempotent(*service, request) : runOnce(*service, request);
}

RequestOutcome RequestRouter::runIdempotent(Service& service, const ServiceRequest& request)
{
    std::set<MinionId> avoided;
    bool mayHaveRun = false;
    std::string reason;
    for (int dispatches = 0; dispatches < mostDispatches; ++dispatches) {
        const SlotDecision decision = service.shard_.acquire(request, avoided);
        if (const auto* refusal = std::get_if<RefuseRequest>(&decision)) {
            if (mayHaveRun)
                return OutcomeUnknown { reason };
            return NotRun { refusal->reason_, refusal->retryAt_ };
        }
        const auto& send = std::get<SendToMinion>(decision);
        counters_.retries_ += dispatches > 0 ? 1 : 0;
        AttemptResult result = attempt(service, request, send);
        auto* whole = std::get_if<WholeAnswer>(&result);
        if (whole != nullptr && whole->response_.status_ < firstServerError) {
            service.shard_.addSuccess();
            return Answered { whole->response_.status_, std::move(whole->response_.headers_), std::move(whole->response_.body_) };
        }
        mayHaveRun = mayHaveRun || !provesNotRun(result);
        reason = reasonOf(result);
        avoided.insert(send.minion_.id_);
        const bool mayRetry = monotonicNow() < request.deadline_ && service.shard_.tryTakeRetry();
        if (mayRetry)
            continue;
        ++counters_.retriesDenied_;
        if (whole != nullptr)
            return Answered { whole->response_.status_, std::move(whole->response_.headers_), std::move(whole->response_.body_) };
        break;
    }
    if (mayHaveRun)
        return OutcomeUnknown { reason };
    return notRun(reason);
}

RequestOutcome RequestRouter::runOnce(Service& service, const ServiceRequest& request)
{
    if (request.idempotencyKey_.empty())
        return notRun("a request that isn't idempotent needs an idempotency key");
    return outcomeOf(claims_.claim(request, request.deadline_), service, request);
}

RequestOutcome RequestRouter::outcomeOf(const ClaimResult& result, Service& service, const ServiceRequest& request)
{
    return std::visit(Overloaded {
                          [&](const ClaimTaken& taken) -> RequestOutcome {
                              ++counters_.claimsTaken_;
                              RequestOutcome outcome = dispatchOnce(service, request);
                              if (const auto* answered = std::get_if<Answered>(&outcome))
                                  claims_.record(taken, *answered, monotonicNow());
                              if (std::holds_alternative<OutcomeUnknown>(outcome))
                                  claims_.recordUnknown(taken, monotonicNow());
                              if (std::holds_alternative<NotRun>(outcome))
                                  claims_.release(taken, monotonicNow());
                              return outcome;
                          },
                          [&](const ClaimAnswered& recorded) -> RequestOutcome {
                              ++counters_.claimsRepeated_;
                              return recorded.answer_;
                          },
                          [](const ClaimUnknown&) -> RequestOutcome {
                              return OutcomeUnknown { "the request was sent before and its answer was lost; whether it ran is not known" };
                          },
                          [&](const ClaimInProgress&) { return waitForRecord(request); },
                          [&](const ClaimMismatch&) -> RequestOutcome { return notRun("the idempotency key stands for another request"); },
                          [&](const ClaimImpossible& impossible) -> RequestOutcome {
                              ++counters_.claimsImpossible_;
                              return notRun("no claim could be written: " + impossible.reason_);
                          } },
        result);
}

RequestOutcome RequestRouter::dispatchOnce(Service& service, const ServiceRequest& request)
{
    std::set<MinionId> avoided;
    std::string reason;
    for (int dispatches = 0; dispatches < mostDispatches; ++dispatches) {
        const SlotDecision decision = service.shard_.acquire(request, avoided);
        if (const auto* refusal = std::get_if<RefuseRequest>(&decision))
            return NotRun { refusal->reason_, refusal->retryAt_ };
        const auto& send = std::get<SendToMinion>(decision);
        AttemptResult result = attempt(service, request, send);
        if (auto* whole = std::get_if<WholeAnswer>(&result)) {
            service.shard_.addSuccess();
            return Answered { whole->response_.status_, std::move(whole->response_.headers_), std::move(whole->response_.body_) };
        }
        reason = reasonOf(result);
        if (std::holds_alternative<NotStarted>(result))
            return notRun(reason);
        // Only what provably never left may be sent, for the first time, elsewhere.
        if (!std::holds_alternative<NeverSent>(result))
            return OutcomeUnknown { reason };
        avoided.insert(send.minion_.id_);
    }
    return notRun(reason);
}

RequestOutcome RequestRouter::waitForRecord(const ServiceRequest& request)
{
    const Time latest = std::min(request.deadline_, monotonicNow() + recordPatience);
    while (monotonicNow() + recordPollTime < latest) {
        std::this_thread::sleep_for(recordPollTime);
        const ClaimResult result = claims_.lookUp(request, latest);
        if (const auto* recorded = std::get_if<ClaimAnswered>(&result)) {
            ++counters_.claimsRepeated_;
            return recorded->answer_;
        }
        if (std::holds_alternative<ClaimUnknown>(result))
            break;
    }
    return OutcomeUnknown { "the request was dispatched before and has no recorded answer yet; repeat it later with the same idempotency key" };
}

AttemptResult RequestRouter::attempt(Service& service, const ServiceRequest& request, const SendToMinion& send)
{
    ++counters_.dispatches_;
    const HttpRequest message = minionRequest(request, send.attemptDeadline_, monotonicNow());
    const auto received = client_.send(send.minion_.address_, message, send.attemptDeadline_, request.isIdempotent_);
    const Time now = monotonicNow();
    AttemptResult result = judgeAnswer(request, received);
    AttemptEnded ended;
    ended.ticket_ = send.ticket_;
    const bool isCutShort = now >= request.deadline_;
    ended.verdict_ = verdictOf(result, isCutShort);
    ended.wasRefused_ = std::holds_alternative<NotStarted>(result);
    ended.slotBusyUntil_ = std::holds_alternative<NoUsableAnswer>(result) ? now + slotQuarantine : now;
    service.shard_.apply(ended);
    counters_.notStarted_ += ended.wasRefused_ ? 1 : 0;
    counters_.unusableAnswers_ += std::holds_alternative<NoUsableAnswer>(result) ? 1 : 0;
    if (received && saysLeaving(*received))
        noteLeavingWord(service, send.minion_.id_);
    return result;
}

NotRun RequestRouter::notRun(const std::string& reason)
{
    RandomSource random(identity_.seed_ + ++spread_);
    const Duration spread(static_cast<Duration::rep>(random.below(returnSpreadMicroseconds)));
    return NotRun { reason, monotonicNow() + shortestReturn + spread };
}

void RequestRouter::noteLeavingWord(Service& service, const MinionId& minion)
{
    service.shard_.apply(LeavingSeen { minion });
    const std::lock_guard<std::mutex> lock(leavingMutex_);
    leaving_.insert(minion);
}

void RequestRouter::count(const RequestOutcome& outcome)
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
        const DispatcherOptions options { identity_.dataCentre_, identity_.seed_, ChoicePolicy::TwoChoices };
        service = std::make_shared<Service>(configuration, options, counters_);
        giveMinions(*service, listed_);
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
        giveMinions(*service, listed_);
    // Once the list agrees there is nothing left to tell peers.
    const std::lock_guard<std::mutex> leavingLock(leavingMutex_);
    for (auto minion = leaving_.begin(); minion != leaving_.end();)
        minion = present.count(*minion) == 0 ? leaving_.erase(minion) : std::next(minion);
}

void RequestRouter::giveMinions(Service& service, const std::vector<ListedInstance>& instances)
{
    MinionsListed listed;
    AllowancesChanged allowances;
    for (const ListedInstance& instance : instances) {
        if (instance.role_ != InstanceRole::Minion || instance.group_ != service.configuration_.id_.value())
            continue;
        const MinionId id(instance.id_);
        listed.minions_.push_back({ id, instance.dataCentre_, instance.address_, instance.isLeaving_ });
        allowances.allowances_[id].own_ = service.configuration_.slotsPerMinion_;
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
        usage.wanted_ += service->shard_.summary().wantedSlots_;
    }
    return usage;
}

void RequestRouter::noteLeaving(const MinionId& minion)
{
    for (const ServicePointer& service : services())
        service->shard_.apply(LeavingSeen { minion });
}

std::set<MinionId> RequestRouter::leavingMinions() const
{
    const std::lock_guard<std::mutex> lock(leavingMutex_);
    return leaving_;
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
    std::unique_lock<std::mutex> lock(tickMutex_);
    while (!tickStop_.wait_for(lock, tickTime, [&] { return isTickStopping_; })) {
        for (const ServicePointer& service : services())
            service->shard_.apply(ClockTick {});
    }
}

void RequestRouter::watchLeaving()
{
    std::unique_lock<std::mutex> lock(tickMutex_);
    while (!tickStop_.wait_for(lock, leavingPollTime, [&] { return isTickStopping_; })) {
        lock.unlock();
        for (const ServicePointer& service : services()) {
            for (const MinionSummary& minion : service->shard_.minionSummaries()) {
                if (!minion.isOnlySeenLeaving_ || !saysItStays(minion.minion_))
                    continue;
                service->shard_.apply(StayingSeen { minion.minion_.id_ });
                const std::lock_guard<std::mutex> leavingLock(leavingMutex_);
                leaving_.erase(minion.minion_.id_);
            }
        }
        lock.lock();
    }
}

bool RequestRouter::saysItStays(const Minion& minion)
{
    HttpRequest request;
    request.path_ = "/v1/health";
    const auto answer = client_.send(minion.address_, request, monotonicNow() + healthTime, true);
    if (!answer || saysLeaving(*answer))
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
    value.addMember("claims_impossible") <<= counters_.claimsImpossible_.load();
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
