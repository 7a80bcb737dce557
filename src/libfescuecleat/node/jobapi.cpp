#include "node/jobapi.h"

#include "base/bootclock.h"
#include "node/jobintake.h"
#include "node/limitrefusal.h"
#include "node/storelayout.h"
#include "node/waitingsummary.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescuecleat {

namespace {

    constexpr std::size_t jobIdLength = 16;
    /** Applies to callers that send no time limit. */
    constexpr Duration defaultCallTimeout = std::chrono::milliseconds(3000);
    /** Subtracted from the caller's timeout for the transfer of the answer. */
    constexpr Duration responseMargin = std::chrono::milliseconds(100);
    /** No write is started with less time left than this, because its outcome might not be known in time. */
    constexpr Duration minWriteTimeout = std::chrono::milliseconds(150);
    /**
     * If the store's last answer is older than this, a read precedes the write:
     * if the read fails, the job has certainly not been accepted.
     */
    constexpr Duration maxContactAge = std::chrono::milliseconds(60);
    /** A slow store answers reads in 240 ms. */
    constexpr Duration probeTimeout = std::chrono::milliseconds(450);
    constexpr Duration storeCallTimeout = std::chrono::milliseconds(900);
    constexpr Duration storeRetryDelay = std::chrono::milliseconds(80);
    /** Sent with a refusal when no instance reaches the store; its outages last a few seconds. */
    constexpr const char* retryAfterSeconds = "2";

    bool isJobId(const std::string& text)
    {
        return text.size() == jobIdLength && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
    }

    std::string withoutPort(const std::string& host)
    {
        return host.substr(0, host.find(':'));
    }

    /** Whether the rows of a job's intake include its own, not only its cancellation. */
    bool hasJob(const std::vector<StoredRow>& rows, const std::string& job)
    {
        return !rows.empty() && rows.front().key_ == job;
    }

    std::string errorBody(const std::string& text)
    {
        // The text may quote bytes of the request, which need not be UTF-8.
        return nlohmann::json { { "error", text } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

}

/** State of a request that has not been answered yet. */
struct JobApi::Call {
    Call(ServerRequest request, AsyncHttpServer::Respond respond, boost::asio::io_context& loop)
        : request_(std::move(request))
        , respond_(std::move(respond))
        , retryTimer_(loop)
    {
    }

    ServerRequest request_;
    AsyncHttpServer::Respond respond_;
    Timer retryTimer_;
    Time startedAt_ = bootTimeNow();
    Time deadline_ {};
    std::shared_ptr<const PoolConfiguration> configuration_;
    const QueueConfiguration* queue_ = nullptr;
    std::string organisation_;
    /** Resources that the organisation's runs may use. */
    Resources limit_;
    std::string job_;
    std::string row_;
    /** A write got no answer and may have been applied. */
    bool mayHaveBeenWritten_ = false;
    /** A failed read of the store has been repeated. */
    bool hasRetried_ = false;
    /** Seconds after which a refused caller may try again. */
    std::string retryAfter_ = retryAfterSeconds;
};

JobApi::JobApi(const NodeContext& context, Dependencies dependencies)
    : context_(context)
    , dependencies_(std::move(dependencies))
{
}

void JobApi::handle(ServerRequest request, AsyncHttpServer::Respond respond)
{
    const std::optional<Duration> limit = context_.callerFormat_.callTimeout(request);
    const auto call = std::make_shared<Call>(std::move(request), std::move(respond), context_.loop_);
    call->deadline_ = call->startedAt_ + std::max(Duration::zero(), limit.value_or(defaultCallTimeout) - responseMargin);
    serve(call);
}

void JobApi::serve(const CallPointer& call)
{
    call->configuration_ = dependencies_.configuration_();
    if (!call->configuration_ || !dependencies_.isConfigurationCurrent_())
        return refuse(call, 503, "the configuration may be out of date");
    const std::string path = call->request_.path_.substr(0, call->request_.path_.find('?'));
    call->queue_ = call->configuration_->findQueue(withoutPort(call->request_.host_), path);
    if (call->queue_ == nullptr)
        return answer(call, 404, errorBody("no such queue"), "no such queue");
    const PoolOrganisationConfiguration* const organisation = call->configuration_->findByKey(context_.callerFormat_.apiKey(call->request_));
    if (organisation == nullptr && !call->queue_->isPublic_)
        return answer(call, 401, errorBody("unknown API key"), "unknown key");
    if (organisation != nullptr) {
        call->organisation_ = organisation->name_;
        call->limit_ = organisation->policy_.limit_;
    }
    call->job_ = path.substr(call->queue_->prefix_.size());
    const std::string& method = call->request_.method_;
    if (call->job_.empty() && method == "GET")
        return answerWaitingJobs(call);
    if (!isJobId(call->job_))
        return answer(call, 400, errorBody("a job id must have 16 hexadecimal digits"), "malformed id");
    if (method == "POST")
        return submit(call);
    if (method == "GET")
        return status(call);
    if (method == "DELETE")
        return cancel(call);
    answer(call, 405, errorBody("use POST, GET or DELETE"), "method");
}

void JobApi::submit(const CallPointer& call)
{
    if (call->queue_->needsAdvice_)
        return refuse(call, 503, "queues that need advice are not supported");
    Result<PoolJobSpec> spec = context_.callerFormat_.decodeJob(call->request_.body_);
    if (!spec)
        return answer(call, 400, errorBody(spec.error().message_), "malformed job");
    if (const auto excess = findLimitExcess(*spec, call->limit_)) {
        // A repeated submission may be of a job that was accepted under a higher limit.
        return readIntake(call, [this, call, text = describe(*excess, call->organisation_)](const std::vector<StoredRow>& rows) {
            if (hasJob(rows, call->job_))
                return answer(call, 200, "{}", "already stored");
            answer(call, 422, errorBody(text), "never fits the limit");
        });
    }
    JobIntake intake;
    const QueueConfiguration& queue = *call->queue_;
    intake.policy_ = { queue.name_, queue.service_, call->organisation_, queue.priority_, queue.maxAttempts_, queue.stretch_, queue.latencyTarget_, queue.needsAdvice_, call->configuration_->version_ };
    intake.spec_ = std::move(*spec);
    intake.submittedMs_ = context_.clock_.earliestMs(call->startedAt_);
    call->row_ = encodeJobIntake(intake);
    const std::size_t maxBytes = context_.settings_.storeLimits_.maxValueBytes();
    if (call->row_.size() > maxBytes)
        return answer(call, 413, errorBody("the job takes " + std::to_string(call->row_.size()) + " bytes when stored, and at most " + std::to_string(maxBytes) + " are possible"), "too large");
    if (!dependencies_.refusal_)
        return accept(call);
    const PoolOrganisationConfiguration* const organisation = call->configuration_->findByKey(context_.callerFormat_.apiKey(call->request_));
    const std::int64_t guaranteed = organisation == nullptr ? 0 : organisation->guaranteedAccelerators_;
    if (const auto refusal = dependencies_.refusal_({ call->job_, &intake.spec_, &intake.policy_, guaranteed }))
        return refuseHopelessJob(call, *refusal);
    accept(call);
}

void JobApi::refuseHopelessJob(const CallPointer& call, const AdmissionRefusal& refusal)
{
    const Duration limit = std::min(probeTimeout, remaining(call->deadline_ - minWriteTimeout, bootTimeNow()));
    if (limit <= Duration::zero())
        return refuse(call, 503, "not enough time left before the deadline");
    context_.store_.read({ intakeTable, intakePartOf(call->job_), call->job_, boundAfter(call->job_) }, limit, lifetime_.guard([this, call, refusal](const tl::expected<RowPage, StoreFailure>& page) {
        // Whether the job was accepted before isn't known, and only the store can tell.
        if (!page)
            return accept(call);
        context_.clock_.observe(page->timestamp_);
        if (!page->rows_.empty())
            return answer(call, 200, "{}", "already stored");
        ++refusedJobs_;
        const std::uint64_t omitted = refusalLines_.omitted();
        if (refusalLines_.take(bootTimeNow()))
            context_.log_.write("job.refused", { { "job", call->job_ }, { "queue", call->queue_->name_ }, { "organisation", call->organisation_ }, { "cause", "it would end after its credit has expired" }, { "endsInMs", static_cast<std::int64_t>(refusal.endsInSeconds_ * 1000) }, { "expiresInMs", static_cast<std::int64_t>(refusal.expiresInSeconds_ * 1000) }, { "retryAfterS", refusal.retryAfterSeconds_ }, { "omittedLines", omitted } });
        call->retryAfter_ = std::to_string(refusal.retryAfterSeconds_);
        refuse(call, 429, "the pool can't complete the job before its credit expires; nothing was stored");
    }));
}

void JobApi::accept(const CallPointer& call)
{
    if (context_.clock_.lastAnswerAt() + maxContactAge > bootTimeNow())
        return sendSubmission(call);
    probeStore(call);
}

void JobApi::probeStore(const CallPointer& call)
{
    const Duration limit = std::min(probeTimeout, remaining(call->deadline_ - minWriteTimeout, bootTimeNow()));
    if (limit <= Duration::zero())
        return refuse(call, 503, "not enough time left before the deadline");
    context_.store_.read({ intakeTable, intakePartOf(call->job_), call->job_, boundAfter(call->job_) }, limit, lifetime_.guard([this, call](const tl::expected<RowPage, StoreFailure>& page) {
        if (!page)
            return retryOrRefuse(call, [this, call] { probeStore(call); });
        context_.clock_.observe(page->timestamp_);
        call->request_.body_.clear();
        if (!page->rows_.empty())
            return answer(call, 200, "{}", "already stored");
        sendSubmission(call);
    }));
}

void JobApi::sendSubmission(const CallPointer& call)
{
    const Duration left = remaining(call->deadline_, bootTimeNow());
    if (left < minWriteTimeout && !call->mayHaveBeenWritten_)
        return refuse(call, 503, "not enough time left before the deadline");
    RowTransaction transaction;
    transaction.part_ = intakePartOf(call->job_);
    transaction.expectations_.push_back({ intakeTable, call->job_, 0 });
    transaction.writes_.push_back({ intakeTable, call->job_, call->row_ });
    const Duration limit = std::min(storeCallTimeout, left);
    context_.store_.commit(std::move(transaction), limit, lifetime_.guard([this, call](const tl::expected<StoreTimestamp, StoreFailure>& outcome) {
        if (outcome) {
            context_.clock_.observe(*outcome);
            answer(call, 200, "{}", "stored");
            return dependencies_.notifyScheduler_({ call->job_, call->row_, outcome->version_, false });
        }
        if (outcome.error().kind_ == StoreFailureKind::Conflict)
            return answer(call, 200, "{}", "already stored");
        handleSubmissionFailure(call, outcome.error());
    }));
}

void JobApi::handleSubmissionFailure(const CallPointer& call, const StoreFailure& failure)
{
    if (failure.kind_ == StoreFailureKind::Rejected && !call->mayHaveBeenWritten_)
        return answer(call, 400, errorBody("the store rejects the job: " + failure.message_), "rejected by the store");
    if (failure.kind_ == StoreFailureKind::OutcomeUnknown)
        call->mayHaveBeenWritten_ = true;
    if (bootTimeNow() + storeRetryDelay + storeRetryDelay < call->deadline_)
        return call->retryTimer_.start(storeRetryDelay, lifetime_.guard([this, call] { sendSubmission(call); }));
    if (call->mayHaveBeenWritten_)
        return answer(call, 504, errorBody("the store has not confirmed the job; retry with the same id"), "outcome unknown");
    refuse(call, 503, "the store refused the job");
}

void JobApi::status(const CallPointer& call)
{
    if (const PoolController* scheduler = dependencies_.scheduler_()) {
        if (const auto state = scheduler->stateOf(call->job_))
            return answer(call, 200, context_.callerFormat_.encodeState(*state), "from the scheduler");
    }
    const Duration limit = std::min(storeCallTimeout, remaining(call->deadline_, bootTimeNow()));
    context_.store_.read({ JobRecorder::table, schedulerPart, call->job_, boundAfter(call->job_) }, limit, lifetime_.guard([this, call](const tl::expected<RowPage, StoreFailure>& page) {
        if (!page)
            return retryOrRefuse(call, [this, call] { status(call); });
        if (page->rows_.empty())
            return statusFromIntake(call);
        PoolJobRecord record;
        if (!decodePoolJobRecord(page->rows_.front().value_, record))
            return answer(call, 500, errorBody("the stored job record can't be decoded"), "unreadable record");
        answer(call, 200, context_.callerFormat_.encodeState(record.state_), "from the record");
    }));
}

void JobApi::statusFromIntake(const CallPointer& call)
{
    readIntake(call, [this, call](const std::vector<StoredRow>& rows) {
        if (!hasJob(rows, call->job_))
            return answer(call, 410, errorBody("no such job"), "no such job");
        answer(call, 200, context_.callerFormat_.encodeState(rows.size() > 1 ? PoolJobState::Cancelled : PoolJobState::Queued), "from the intake");
    });
}

void JobApi::readIntake(const CallPointer& call, const std::function<void(const std::vector<StoredRow>&)>& handleRows)
{
    const Duration limit = std::min(storeCallTimeout, remaining(call->deadline_, bootTimeNow()));
    context_.store_.read({ intakeTable, intakePartOf(call->job_), call->job_, boundAfter(cancelKey(call->job_)) }, limit, lifetime_.guard([this, call, handleRows](const tl::expected<RowPage, StoreFailure>& page) {
        if (!page)
            return retryOrRefuse(call, [this, call, handleRows] { readIntake(call, handleRows); });
        handleRows(page->rows_);
    }));
}

void JobApi::cancel(const CallPointer& call)
{
    readIntake(call, [this, call](const std::vector<StoredRow>& rows) {
        if (rows.size() > 1)
            return answer(call, 200, "{}", "already cancelled");
        if (!rows.empty() && !hasJob(rows, call->job_))
            return answer(call, 410, errorBody("no such job"), "already cancelled");
        // The submission of an unknown job may still be under way, so the cancellation is stored all the same.
        sendCancellation(call, rows.empty() ? 0 : rows.front().version_);
    });
}

void JobApi::sendCancellation(const CallPointer& call, std::uint64_t jobVersion)
{
    RowTransaction transaction;
    transaction.part_ = intakePartOf(call->job_);
    transaction.expectations_.push_back({ intakeTable, call->job_, jobVersion });
    const std::string row = encodeCancellation(context_.clock_.earliestMs(bootTimeNow()));
    transaction.writes_.push_back({ intakeTable, cancelKey(call->job_), row });
    const Duration limit = std::min(storeCallTimeout, remaining(call->deadline_, bootTimeNow()));
    context_.store_.commit(std::move(transaction), limit, lifetime_.guard([this, call, jobVersion, row](const tl::expected<StoreTimestamp, StoreFailure>& outcome) {
        if (!outcome)
            return handleCancellationFailure(call);
        if (jobVersion == 0)
            answer(call, 410, errorBody("no such job"), "stored for a later submission");
        else
            answer(call, 200, "{}", "stored");
        dependencies_.notifyScheduler_({ cancelKey(call->job_), row, outcome->version_, false });
    }));
}

void JobApi::answerWaitingJobs(const CallPointer& call)
{
    if (const PoolController* scheduler = dependencies_.scheduler_()) {
        if (const auto jobs = scheduler->waitingJobs(call->queue_->name_))
            return answer(call, 200, context_.callerFormat_.encodeWaiting(*jobs), "from the scheduler");
    }
    const Duration limit = std::min(storeCallTimeout, remaining(call->deadline_, bootTimeNow()));
    // The table has other rows, too.
    const std::string key = PoolController::summaryKey;
    context_.store_.read({ PoolController::summaryTable, schedulerPart, key, boundAfter(key) }, limit, lifetime_.guard([this, call](const tl::expected<RowPage, StoreFailure>& page) {
        if (!page)
            return retryOrRefuse(call, [this, call] { answerWaitingJobs(call); });
        context_.clock_.observe(page->timestamp_);
        const auto row = std::find_if(page->rows_.begin(), page->rows_.end(), [](const StoredRow& other) { return other.key_ == PoolController::summaryKey; });
        const auto summary = row == page->rows_.end() ? WaitingSummary {} : decodeWaitingSummary(row->value_);
        if (!summary)
            context_.log_.write("summary.unreadable", { { "version", row->version_ } });
        // Jobs that were accepted since then would be missing from an older number.
        if (!summary || !summary->isCurrent(context_.clock_, bootTimeNow()))
            return refuse(call, 503, "no scheduler has counted the waiting jobs recently");
        answer(call, 200, context_.callerFormat_.encodeWaiting(summary->jobsOf(call->queue_->name_)), "from the summary");
    }));
}

void JobApi::handleCancellationFailure(const CallPointer& call)
{
    if (bootTimeNow() + storeRetryDelay + storeRetryDelay < call->deadline_)
        return call->retryTimer_.start(storeRetryDelay, lifetime_.guard([this, call] { cancel(call); }));
    refuse(call, 503, "the store has not confirmed the cancellation");
}

void JobApi::retryOrRefuse(const CallPointer& call, const std::function<void()>& retry)
{
    if (call->hasRetried_ || remaining(call->deadline_, bootTimeNow()) < minWriteTimeout)
        return refuse(call, 503, "neither we nor our peers reach the store");
    call->hasRetried_ = true;
    retry();
}

void JobApi::refuse(const CallPointer& call, int status, const char* cause)
{
    answer(call, status, errorBody(cause), cause);
}

void JobApi::answer(const CallPointer& call, int status, std::string body, const char* cause)
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
        response.headers_.emplace_back("Retry-After", call->retryAfter_);
    call->respond_(std::move(response));
}

}
