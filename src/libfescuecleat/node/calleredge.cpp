#include "node/calleredge.h"

#include "node/jobintake.h"
#include "node/nodeclock.h"

#include <nlohmann/json.hpp>

namespace fescuecleat {

namespace {

    constexpr std::size_t jobIdLength = 16;
    /** How long a caller waits who doesn't say. */
    constexpr Duration defaultTimeLimit = std::chrono::milliseconds(3000);
    /** Kept of a caller's time for the answer's way back. */
    constexpr Duration answerReserve = std::chrono::milliseconds(100);
    /** With less time left than this no write is begun, so that its outcome will be known. */
    constexpr Duration minWriteTime = std::chrono::milliseconds(150);
    /** After this long without an answer of the store, a read goes before a write: if it fails, the job has certainly not been accepted. */
    constexpr Duration recentContact = std::chrono::milliseconds(60);
    /** Well above the answers of a slow store, 240 ms. */
    constexpr Duration probeTimeLimit = std::chrono::milliseconds(450);
    constexpr Duration storeAttempt = std::chrono::milliseconds(900);
    constexpr Duration storeRetryDelay = std::chrono::milliseconds(80);
    /** When a refused caller may come back: no instance reaches the store, and its outages last some seconds. */
    constexpr const char* retryAfterSeconds = "2";

    bool isJobId(const std::string& text)
    {
        return text.size() == jobIdLength && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
    }

    std::string withoutPort(const std::string& host)
    {
        return host.substr(0, host.find(':'));
    }

    std::string problem(const std::string& text)
    {
        return nlohmann::json { { "error", text } }.dump();
    }

}

/** A call that has not been answered. */
struct CallerEdge::Call {
    Call(ServerRequest request, AsyncHttpServer::Respond respond, boost::asio::io_context& loop)
        : request_(std::move(request))
        , respond_(std::move(respond))
        , retry_(loop)
    {
    }

    ServerRequest request_;
    AsyncHttpServer::Respond respond_;
    Timer retry_;
    Time startedAt_ = bootTimeNow();
    Time deadline_ {};
    std::shared_ptr<const PoolConfiguration> configuration_;
    const QueueConfiguration* queue_ = nullptr;
    std::string organisation_;
    std::string job_;
    std::string row_;
    /** A write may have been done without our knowing. */
    bool mayHaveBeenWritten_ = false;
    /** A call of the store has failed and was made again. */
    bool isSecondTry_ = false;
};

CallerEdge::CallerEdge(const NodeContext& context, Sources sources)
    : context_(context)
    , sources_(std::move(sources))
{
}

void CallerEdge::handle(ServerRequest request, AsyncHttpServer::Respond respond)
{
    const std::optional<Duration> limit = context_.callerFormat_.timeLimit(request);
    const auto call = std::make_shared<Call>(std::move(request), std::move(respond), context_.loop_);
    call->deadline_ = call->startedAt_ + std::max(Duration::zero(), limit.value_or(defaultTimeLimit) - answerReserve);
    serve(call);
}

void CallerEdge::serve(const CallPointer& call)
{
    call->configuration_ = sources_.configuration_();
    if (!call->configuration_ || !sources_.isConfigurationProven_())
        return refuse(call, 503, "the configuration is not known to be the newest");
    const std::string path = call->request_.path_.substr(0, call->request_.path_.find('?'));
    call->queue_ = call->configuration_->findQueue(withoutPort(call->request_.host_), path);
    if (call->queue_ == nullptr)
        return answer(call, 404, problem("no such queue"), "no such queue");
    const PoolOrganisationConfiguration* const organisation = call->configuration_->findByKey(context_.callerFormat_.apiKey(call->request_));
    if (organisation == nullptr && !call->queue_->isPublic_)
        return answer(call, 401, problem("the key is not known"), "unknown key");
    if (organisation != nullptr)
        call->organisation_ = organisation->name_;
    call->job_ = path.substr(call->queue_->prefix_.size());
    const std::string& method = call->request_.method_;
    if (call->job_.empty() && method == "GET")
        return waiting(call);
    if (!isJobId(call->job_))
        return answer(call, 400, problem("a job's id has 16 hexadecimal digits"), "malformed id");
    if (method == "POST")
        return submit(call);
    if (method == "GET")
        return status(call);
    if (method == "DELETE")
        return cancel(call);
    answer(call, 405, problem("use POST, GET or DELETE"), "method");
}

void CallerEdge::submit(const CallPointer& call)
{
    if (call->queue_->needsAdvice_)
        return refuse(call, 503, "queues with advice are not served");
    Result<PoolJobSpec> spec = context_.callerFormat_.decodeJob(call->request_.body_);
    if (!spec)
        return answer(call, 400, problem(spec.error().message_), "malformed job");
    JobIntake intake;
    const QueueConfiguration& queue = *call->queue_;
    intake.policy_ = { queue.name_, queue.service_, call->organisation_, queue.priority_, queue.maxAttempts_, queue.stretch_, queue.latencyTarget_, queue.needsAdvice_ };
    intake.spec_ = std::move(*spec);
    intake.submittedMs_ = context_.clock_.earliest(call->startedAt_);
    call->row_ = encodeJobIntake(intake);
    if (context_.clock_.lastAnswer() + recentContact > bootTimeNow())
        return sendSubmission(call);
    probeStore(call);
}

void CallerEdge::probeStore(const CallPointer& call)
{
    const Duration limit = std::min(probeTimeLimit, remaining(call->deadline_ - minWriteTime, bootTimeNow()));
    if (limit <= Duration::zero())
        return refuse(call, 503, "too little time is left");
    context_.store_.read({ intakeTable, intakePartOf(call->job_), call->job_, boundAfter(call->job_) }, limit, lifetime_.guard([this, call](const tl::expected<RowPage, StoreFailure>& page) {
        if (!page)
            return retryOrRefuse(call, [this, call] { probeStore(call); });
        context_.clock_.observe(page->moment_);
        call->request_.body_.clear();
        if (!page->rows_.empty())
            return answer(call, 200, "{}", "known already");
        sendSubmission(call);
    }));
}

void CallerEdge::sendSubmission(const CallPointer& call)
{
    const Duration left = remaining(call->deadline_, bootTimeNow());
    if (left < minWriteTime && !call->mayHaveBeenWritten_)
        return refuse(call, 503, "too little time is left");
    RowTransaction transaction;
    transaction.part_ = intakePartOf(call->job_);
    transaction.expectations_.push_back({ intakeTable, call->job_, 0 });
    transaction.writes_.push_back({ intakeTable, call->job_, call->row_ });
    const Duration limit = std::min(storeAttempt, left);
    context_.store_.commit(std::move(transaction), limit, lifetime_.guard([this, call](const tl::expected<StoreMoment, StoreFailure>& outcome) {
        if (outcome) {
            context_.clock_.observe(*outcome);
            answer(call, 200, "{}", "stored");
            return sources_.announce_({ call->job_, call->row_, outcome->version_, false });
        }
        if (outcome.error().kind_ == StoreFailureKind::Conflict)
            return answer(call, 200, "{}", "known already");
        submissionFailed(call, outcome.error());
    }));
}

void CallerEdge::submissionFailed(const CallPointer& call, const StoreFailure& failure)
{
    if (failure.kind_ == StoreFailureKind::OutcomeUnknown)
        call->mayHaveBeenWritten_ = true;
    if (bootTimeNow() + storeRetryDelay + storeRetryDelay < call->deadline_)
        return call->retry_.start(storeRetryDelay, lifetime_.guard([this, call] { sendSubmission(call); }));
    if (call->mayHaveBeenWritten_)
        return answer(call, 504, problem("the store has not confirmed the job; ask again with the same id"), "outcome unknown");
    refuse(call, 503, "the store refuses");
}

void CallerEdge::status(const CallPointer& call)
{
    if (const PoolController* scheduler = sources_.scheduler_()) {
        if (const auto state = scheduler->stateOf(call->job_))
            return answer(call, 200, context_.callerFormat_.encodeState(*state), "from the scheduler");
    }
    const Duration limit = std::min(storeAttempt, remaining(call->deadline_, bootTimeNow()));
    context_.store_.read({ JobRecorder::table, {}, call->job_, boundAfter(call->job_) }, limit, lifetime_.guard([this, call](const tl::expected<RowPage, StoreFailure>& page) {
        if (!page)
            return retryOrRefuse(call, [this, call] { status(call); });
        if (page->rows_.empty())
            return statusFromIntake(call);
        PoolJobRecord record;
        if (!decodePoolJobRecord(page->rows_.front().value_, record))
            return answer(call, 500, problem("the job's record can't be read"), "unreadable record");
        answer(call, 200, context_.callerFormat_.encodeState(record.state_), "from the record");
    }));
}

void CallerEdge::statusFromIntake(const CallPointer& call)
{
    readIntake(call, [this, call](const std::vector<StoredRow>& rows) {
        answer(call, 200, context_.callerFormat_.encodeState(rows.size() > 1 ? PoolJobState::Cancelled : PoolJobState::Queued), "from the intake");
    });
}

void CallerEdge::readIntake(const CallPointer& call, const std::function<void(const std::vector<StoredRow>&)>& use)
{
    const Duration limit = std::min(storeAttempt, remaining(call->deadline_, bootTimeNow()));
    context_.store_.read({ intakeTable, intakePartOf(call->job_), call->job_, boundAfter(cancelKey(call->job_)) }, limit, lifetime_.guard([this, call, use](const tl::expected<RowPage, StoreFailure>& page) {
        if (!page)
            return retryOrRefuse(call, [this, call, use] { readIntake(call, use); });
        if (page->rows_.empty())
            return answer(call, 410, problem("no such job"), "no such job");
        use(page->rows_);
    }));
}

void CallerEdge::cancel(const CallPointer& call)
{
    readIntake(call, [this, call](const std::vector<StoredRow>& rows) {
        if (rows.size() > 1)
            return answer(call, 200, "{}", "cancelled already");
        sendCancellation(call, rows.front().version_);
    });
}

void CallerEdge::sendCancellation(const CallPointer& call, std::uint64_t jobVersion)
{
    RowTransaction transaction;
    transaction.part_ = intakePartOf(call->job_);
    transaction.expectations_.push_back({ intakeTable, call->job_, jobVersion });
    transaction.writes_.push_back({ intakeTable, cancelKey(call->job_), "{}" });
    const Duration limit = std::min(storeAttempt, remaining(call->deadline_, bootTimeNow()));
    context_.store_.commit(std::move(transaction), limit, lifetime_.guard([this, call](const tl::expected<StoreMoment, StoreFailure>& outcome) {
        if (!outcome)
            return cancellationFailed(call);
        answer(call, 200, "{}", "stored");
        sources_.announce_({ cancelKey(call->job_), "{}", outcome->version_, false });
    }));
}

void CallerEdge::waiting(const CallPointer& call)
{
    if (const PoolController* scheduler = sources_.scheduler_()) {
        if (const auto jobs = scheduler->waitingJobs(call->queue_->name_))
            return answer(call, 200, context_.callerFormat_.encodeWaiting(*jobs), "from the scheduler");
    }
    const Duration limit = std::min(storeAttempt, remaining(call->deadline_, bootTimeNow()));
    context_.store_.read({ PoolController::summaryTable, {}, {}, {} }, limit, lifetime_.guard([this, call](const tl::expected<RowPage, StoreFailure>& page) {
        if (!page)
            return retryOrRefuse(call, [this, call] { waiting(call); });
        int jobs = 0;
        if (!page->rows_.empty()) {
            const auto summary = nlohmann::json::parse(page->rows_.front().value_, nullptr, false);
            if (summary.is_object())
                jobs = summary.value(call->queue_->name_, 0);
            else
                context_.log_.write("summary.unreadable", { { "version", page->rows_.front().version_ } });
        }
        answer(call, 200, context_.callerFormat_.encodeWaiting(jobs), "from the summary");
    }));
}

void CallerEdge::cancellationFailed(const CallPointer& call)
{
    if (bootTimeNow() + storeRetryDelay + storeRetryDelay < call->deadline_)
        return call->retry_.start(storeRetryDelay, lifetime_.guard([this, call] { cancel(call); }));
    refuse(call, 503, "the store has not confirmed the cancellation");
}

void CallerEdge::retryOrRefuse(const CallPointer& call, const std::function<void()>& again)
{
    if (call->isSecondTry_ || remaining(call->deadline_, bootTimeNow()) < minWriteTime)
        return refuse(call, 503, "neither we nor our peers reach the store");
    call->isSecondTry_ = true;
    again();
}

void CallerEdge::refuse(const CallPointer& call, int status, const char* cause)
{
    answer(call, status, problem(cause), cause);
}

void CallerEdge::answer(const CallPointer& call, int status, std::string body, const char* cause)
{
    ++answersByStatus_[status];
    if (status != 200 || call->request_.method_ != "GET") {
        const auto took = wholeMilliseconds(bootTimeNow() - call->startedAt_);
        context_.log_.write("call.answered", { { "job", call->job_ }, { "method", call->request_.method_ }, { "status", status }, { "cause", cause }, { "tookMs", took }, { "organisation", call->organisation_ }, { "configuration", call->configuration_ ? call->configuration_->version_ : 0 } });
    }
    ServerResponse response;
    response.status_ = status;
    response.body_ = std::move(body);
    if (status == 503 || status == 429)
        response.headers_.emplace_back("Retry-After", retryAfterSeconds);
    call->respond_(std::move(response));
}

}
