#include "callerload.h"

#include "base/bootclock.h"
#include "server/callerrequests.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    constexpr const char* connectionGroup = "callers";
    constexpr Duration callTimeout = std::chrono::milliseconds(1500);
    constexpr Duration pollInterval = std::chrono::milliseconds(500);
    constexpr Duration waitingInterval = std::chrono::seconds(1);
    constexpr Duration retryDelay = std::chrono::milliseconds(50);
    /** The client doesn't pass on the header that names a time. */
    constexpr Duration refusedRetryDelay = std::chrono::milliseconds(500);
    constexpr std::size_t maxAttempts = 6;
    /** Questions for the state after it is final, to see that it stays so. */
    constexpr int maxFinalQuestions = 4;
    constexpr int casesPerCancellation = 12;
    constexpr int casesPerRepetition = 20;
    constexpr int casesPerWithdrawnKey = 20;

    CallerAnswer::Content decodeContent(CallerCallKind kind, const tl::expected<HttpAnswer, HttpFailure>& outcome)
    {
        if (!outcome) {
            if (outcome.error() == HttpFailure::NotSent)
                return CallNotSent {};
            return CallUnanswered {};
        }
        const int status = outcome->status_;
        if (status / 100 != 2)
            return PlainAnswer { status };
        const auto plain = [status](const auto& body) -> CallerAnswer::Content {
            if (!body)
                return MalformedAnswer { status, body.error() };
            return PlainAnswer { status };
        };
        if (kind == CallerCallKind::Waiting)
            return plain(callerrequests::decodeWaiting(outcome->body_));
        if (kind != CallerCallKind::State)
            return plain(callerrequests::decodeAccepted(outcome->body_));
        const auto state = callerrequests::decodeState(outcome->body_);
        if (!state || status != 200)
            return MalformedAnswer { status, state ? "a state with another status than 200" : state.error() };
        return StateAnswer { *state };
    }

    HttpCall makeCall(CallerCallKind kind, const CallerQueue& queue, const std::string& job, const std::string& body)
    {
        const callerrequests::Target target { queue.host_, queue.prefix_, queue.key_ };
        switch (kind) {
        case CallerCallKind::Submit:
            return callerrequests::submit(target, job, body, callTimeout);
        case CallerCallKind::State:
            return callerrequests::askState(target, job, callTimeout);
        case CallerCallKind::Cancel:
            return callerrequests::cancel(target, job, callTimeout);
        case CallerCallKind::Waiting:
            return callerrequests::countWaiting(target, callTimeout);
        }
        return {};
    }

    /** Milliseconds; -1 without values. */
    std::int64_t percentile(const std::vector<Duration>& sorted, std::size_t percent)
    {
        if (sorted.empty())
            return -1;
        return wholeMilliseconds(sorted[(sorted.size() - 1) * percent / 100]);
    }

}

/** A job and the calls for it that are still to be made. */
struct CallerLoad::Submission {
    Submission(CallerJob job, std::string body, boost::asio::io_context& context)
        : job_(std::move(job))
        , body_(std::move(body))
        , submitTimer_(context)
        , stateTimer_(context)
        , cancelTimer_(context)
    {
    }

    CallerJob job_;
    std::string body_;
    std::size_t lastInstance_ = 0;
    std::size_t cancelAttempts_ = 0;
    int finalQuestions_ = 0;
    Timer submitTimer_;
    Timer stateTimer_;
    Timer cancelTimer_;
};

CallerLoad::CallerLoad(boost::asio::io_context& context, AsyncHttpClient& client, std::vector<SocketAddress> instances, Settings settings)
    : client_(client)
    , context_(context)
    , instances_(std::move(instances))
    , jobsPerSecond_(settings.jobsPerSecond_)
    , queues_(std::move(settings.queues_))
    , jobDraw_(settings.seed_)
    , callDraw_(settings.seed_ + 1)
    , audit_({})
    , submitTimer_(context)
    , waitingTimer_(context)
{
}

CallerLoad::~CallerLoad() = default;

void CallerLoad::start()
{
    audit_.configurationConfirmed(queues_, bootTimeNow());
    isSubmitting_ = true;
    scheduleNextJob();
    countWaiting();
}

void CallerLoad::stopSubmitting()
{
    isSubmitting_ = false;
    submitTimer_.cancel();
}

void CallerLoad::keyWithdrawn(const std::string& key, Time confirmedAt)
{
    audit_.keyWithdrawn(key, confirmedAt);
}

void CallerLoad::keyRestored(const std::string& key)
{
    audit_.keyRestored(key);
}

void CallerLoad::queueLeaves(const std::string& name)
{
    audit_.queueLeaves(name);
}

void CallerLoad::configurationConfirmed(std::vector<CallerQueue> queues, Time confirmedAt)
{
    audit_.configurationConfirmed(queues, confirmedAt);
    queues_ = std::move(queues);
}

std::vector<std::string> CallerLoad::openJobs() const
{
    std::vector<std::string> jobs;
    for (const auto& [id, submission] : submissions_) {
        if (submission->job_.isOpen())
            jobs.push_back(id);
    }
    return jobs;
}

std::vector<std::string> CallerLoad::refusedJobs() const
{
    std::vector<std::string> jobs;
    for (const auto& [id, submission] : submissions_) {
        if (submission->job_.isRefused())
            jobs.push_back(id);
    }
    return jobs;
}

nlohmann::json CallerLoad::summary() const
{
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t unanswered = 0;
    std::vector<Duration> completionTimes;
    for (const auto& entry : submissions_) {
        const CallerJob& job = entry.second->job_;
        accepted += job.acceptedAt() ? 1 : 0;
        refused += job.isRefused() ? 1 : 0;
        cancelled += job.lastState() == PoolJobState::Cancelled ? 1 : 0;
        unanswered += !job.acceptedAt() && !job.isRefused() ? 1 : 0;
        if (const auto time = job.completionTime())
            completionTimes.push_back(*time);
    }
    std::sort(completionTimes.begin(), completionTimes.end());
    return { { "calls", callsByOutcome_ }, { "submitted", submissions_.size() }, { "accepted", accepted },
        { "completed", completionTimes.size() }, { "refused", refused }, { "cancelled", cancelled }, { "unanswered", unanswered },
        { "completionMs", { { "p50", percentile(completionTimes, 50) }, { "p99", percentile(completionTimes, 99) } } } };
}

void CallerLoad::scheduleNextJob()
{
    submitTimer_.start(jobDraw_.untilNext(jobsPerSecond_), [this] {
        if (!isSubmitting_)
            return;
        submitNewJob();
        scheduleNextJob();
    });
}

void CallerLoad::submitNewJob()
{
    if (queues_.empty())
        return;
    CallerQueue queue = queues_[jobDraw_.below(queues_.size())];
    const std::vector<std::string> withdrawn = audit_.withdrawnKeys();
    if (!withdrawn.empty() && callDraw_.oneIn(casesPerWithdrawnKey))
        queue.key_ = withdrawn[callDraw_.below(withdrawn.size())];
    const std::string id = jobDraw_.jobId();
    const PoolJobSpec spec = jobDraw_.job();
    auto submission = std::make_unique<Submission>(CallerJob(id, std::move(queue), bootTimeNow()), callerrequests::encodeJob(spec), context_);
    Submission& added = *submission;
    if (spec.payload_ == CallerDraw::deadlyPayload)
        added.job_.setDeadly();
    submissions_[id] = std::move(submission);
    sendSubmission(added);
}

void CallerLoad::sendSubmission(Submission& submission)
{
    call(CallerCallKind::Submit, submission, submission.job_.queue(), [this, &submission](const CallerAnswer& answer) { handleSubmission(submission, answer); });
}

void CallerLoad::handleSubmission(Submission& submission, const CallerAnswer& answer)
{
    if (answer.isSuccess()) {
        // A repeated submission has this answer again.
        if (submission.job_.acceptedAt() == answer.endedAt_)
            follow(submission);
        return;
    }
    if (submission.job_.acceptedAt() || submission.job_.attempts().size() >= maxAttempts)
        return;
    if (answer.isRefusedForNow()) {
        if (callDraw_.oneIn(2))
            submission.submitTimer_.start(refusedRetryDelay, [this, &submission] { sendSubmission(submission); });
        return;
    }
    if (answer.status() == 0 || answer.isOutcomeUnknown())
        submission.submitTimer_.start(retryDelay, [this, &submission] { sendSubmission(submission); });
}

void CallerLoad::follow(Submission& submission)
{
    if (callDraw_.oneIn(casesPerRepetition))
        submission.submitTimer_.start(callDraw_.between(std::chrono::seconds(1), std::chrono::seconds(5)), [this, &submission] { sendSubmission(submission); });
    if (callDraw_.oneIn(casesPerCancellation))
        submission.cancelTimer_.start(callDraw_.between(Duration::zero(), std::chrono::seconds(2)), [this, &submission] { sendCancellation(submission); });
    submission.stateTimer_.start(pollInterval, [this, &submission] { askState(submission); });
}

void CallerLoad::askState(Submission& submission)
{
    call(CallerCallKind::State, submission, queueFor(submission.job_), [this, &submission](const CallerAnswer&) {
        const auto state = submission.job_.lastState();
        if (state && isFinal(*state) && ++submission.finalQuestions_ > maxFinalQuestions)
            return;
        submission.stateTimer_.start(pollInterval, [this, &submission] { askState(submission); });
    });
}

void CallerLoad::sendCancellation(Submission& submission)
{
    ++submission.cancelAttempts_;
    submission.job_.recordCancelSent();
    call(CallerCallKind::Cancel, submission, queueFor(submission.job_), [this, &submission](const CallerAnswer& answer) {
        const bool isOver = answer.status() != 0 && !answer.isOutcomeUnknown() && !answer.isRefusedForNow();
        if (isOver || submission.cancelAttempts_ >= maxAttempts)
            return;
        submission.cancelTimer_.start(refusedRetryDelay, [this, &submission] { sendCancellation(submission); });
    });
}

void CallerLoad::countWaiting()
{
    waitingTimer_.start(waitingInterval, [this] {
        countWaiting();
        if (queues_.empty())
            return;
        send(CallerCallKind::Waiting, queues_[callDraw_.below(queues_.size())], {}, {}, callDraw_.below(instances_.size()), [this](const CallerAnswer& answer) { audit_.check(answer); });
    });
}

CallerQueue CallerLoad::queueFor(const CallerJob& job)
{
    const auto current = std::find_if(queues_.begin(), queues_.end(), [&job](const CallerQueue& queue) { return queue.name_ == job.queue().name_; });
    if (current == queues_.end() || callDraw_.oneIn(2))
        return job.queue();
    return *current;
}

void CallerLoad::call(CallerCallKind kind, Submission& submission, const CallerQueue& queue, std::function<void(const CallerAnswer&)> handle)
{
    submission.lastInstance_ = drawInstance(submission.lastInstance_);
    const std::string body = kind == CallerCallKind::Submit ? submission.body_ : std::string();
    send(kind, queue, submission.job_.id(), body, submission.lastInstance_, [this, &submission, handle = std::move(handle)](const CallerAnswer& answer) {
        audit_.check(submission.job_, answer);
        submission.job_.record(answer);
        handle(answer);
    });
}

void CallerLoad::send(CallerCallKind kind, const CallerQueue& queue, const std::string& job, const std::string& body, std::size_t instance, std::function<void(const CallerAnswer&)> handle)
{
    const Time sentAt = bootTimeNow();
    client_.call(instances_[instance], connectionGroup, makeCall(kind, queue, job, body), callTimeout,
        lifetime_.guard([this, kind, queue, sentAt, handle = std::move(handle)](const tl::expected<HttpAnswer, HttpFailure>& outcome) {
            const CallerAnswer answer { kind, queue, sentAt, bootTimeNow(), decodeContent(kind, outcome) };
            ++callsByOutcome_[answer.outcomeName()];
            handle(answer);
        }));
}

std::size_t CallerLoad::drawInstance(std::size_t other)
{
    if (instances_.size() < 2)
        return 0;
    const std::size_t drawn = callDraw_.below(instances_.size() - 1);
    return drawn >= other ? drawn + 1 : drawn;
}

}
