#include "load/jobtracker.h"

#include "api/jobsubmission.h"
#include "state/jobstate.h"

#include <algorithm>
#include <set>

namespace fescuecleat {

namespace {

    constexpr int trackerThreadCount = 8;
    constexpr Duration callTimeout = std::chrono::seconds(5);
    constexpr Duration pollInterval = std::chrono::milliseconds(250);
    constexpr Duration retryInterval = std::chrono::seconds(1);
    constexpr int statusOk = 200;
    constexpr int statusAccepted = 202;
    constexpr int statusNotFound = 404;
    constexpr int statusTooManyRequests = 429;

    std::string stringMember(const JsonValue& value, const std::string& name)
    {
        std::string text;
        if (const JsonValue* member = value.findMember(name))
            member->getValue(text);
        return text;
    }

    bool hasEnded(const SentJob& job)
    {
        static const std::set<std::string> ended { "finished", "failed", "cancelled", "refused" };
        return ended.count(job.state_) > 0;
    }

    bool isFinalRefusal(int status)
    {
        return status >= 400 && status < 500 && status != statusTooManyRequests;
    }

}

JobTracker::JobTracker(const Testbed& testbed, HttpClient& client, Balancer& balancer, const std::vector<PlannedJob>& planned, Time start)
    : testbed_(testbed)
    , client_(client)
    , balancer_(balancer)
    , plannedJobs_(planned)
{
    for (const PlannedJob& job : plannedJobs_) {
        SentJob sent;
        sent.tag_ = job.tag_;
        sent.tasks_ = job.spec_.tasks_;
        sent.accelerators_ = job.spec_.shape_.accelerators_;
        sent.isIdempotent_ = job.spec_.isIdempotent_;
        sent.isUrgent_ = job.spec_.isUrgent_;
        sent.organisation_ = testbed_.organisations_[job.organisation_].id_;
        sent.intendedAt_ = start + job.at_;
        dueActions_.push({ sent.intendedAt_, jobs_.size() });
        jobs_.push_back(std::move(sent));
    }
    for (int i = 0; i < trackerThreadCount; ++i)
        threads_.emplace_back([this] { runThread(); });
}

JobTracker::~JobTracker()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isStopped_ = true;
    }
    changed_.notify_all();
    for (std::thread& thread : threads_)
        thread.join();
}

void JobTracker::runThread()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!isStopped_) {
        if (dueActions_.empty()) {
            changed_.wait_for(lock, pollInterval);
            continue;
        }
        const DueAction next = dueActions_.top();
        if (next.at_ > monotonicNow()) {
            changed_.wait_until(lock, next.at_);
            continue;
        }
        dueActions_.pop();
        lock.unlock();
        runAction(next.jobIndex_);
        lock.lock();
    }
}

void JobTracker::runAction(std::size_t job)
{
    if (snapshot(job).jobId_.empty())
        submit(job);
    else
        poll(job, false);
}

void JobTracker::submit(std::size_t job)
{
    const auto response = call(job, "POST", "/v1/jobs", writeJson(writeJobSubmission(plannedJobs_[job].spec_)));
    if (!response)
        return reschedule(job, retryInterval);
    const Result<JsonValue> value = parseJson(response->body_);
    if ((response->status_ == statusAccepted || response->status_ == statusOk) && value && !stringMember(*value, "job").empty()) {
        update(job, [&](SentJob& sent) {
            sent.jobId_ = stringMember(*value, "job");
            sent.state_ = stringMember(*value, "state");
        });
        return reschedule(job, pollInterval);
    }
    if (!isFinalRefusal(response->status_))
        return reschedule(job, retryInterval);
    update(job, [&](SentJob& sent) {
        sent.state_ = "refused";
        sent.reason_ = response->body_.substr(0, 200);
        sent.endedAt_ = monotonicNow();
    });
}

void JobTracker::poll(std::size_t job, bool isFinalPoll)
{
    const auto response = call(job, "GET", "/v1/jobs/" + snapshot(job).jobId_, "");
    if (!response)
        return reschedule(job, pollInterval);
    const Result<JsonValue> value = parseJson(response->body_);
    if (response->status_ == statusOk && value) {
        update(job, [&](SentJob& sent) {
            sent.state_ = stringMember(*value, "state");
            sent.reason_ = stringMember(*value, "reason");
            if (hasEnded(sent))
                sent.endedAt_ = monotonicNow();
        });
    } else if (response->status_ == statusNotFound && isFinalPoll) {
        update(job, [](SentJob& sent) { sent.state_ = "missing"; });
    }
    if (!hasEnded(snapshot(job)))
        reschedule(job, pollInterval);
}

void JobTracker::cancel(std::size_t job)
{
    const auto response = call(job, "POST", "/v1/jobs/" + snapshot(job).jobId_ + "/cancel", "{}");
    if (response && response->status_ < 300)
        update(job, [](SentJob& sent) { sent.wasCancelled_ = true; });
}

void JobTracker::cancelShare(double share)
{
    std::vector<std::size_t> open;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (std::size_t job = 0; job < jobs_.size(); ++job) {
            if (!jobs_[job].jobId_.empty() && !hasEnded(jobs_[job]))
                open.push_back(job);
        }
    }
    open.resize(static_cast<std::size_t>(static_cast<double>(open.size()) * share));
    for (const std::size_t job : open)
        cancel(job);
}

std::size_t JobTracker::openJobCount() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const SentJob& job) { return !hasEnded(job); }));
}

std::vector<SentJob> JobTracker::finish()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isStopped_ = true;
    }
    changed_.notify_all();
    for (std::thread& thread : threads_)
        thread.join();
    threads_.clear();
    for (std::size_t job = 0; job < jobs_.size(); ++job) {
        if (!jobs_[job].jobId_.empty() && !hasEnded(jobs_[job]))
            poll(job, true);
    }
    return jobs_;
}

tl::expected<HttpResponse, TransportError> JobTracker::call(std::size_t job, const std::string& method, const std::string& path, const std::string& body)
{
    const auto entry = balancer_.next();
    if (!entry)
        return tl::unexpected<TransportError>(TransportError { TransportFailure::NotSent, "no instance is ready" });
    HttpRequest request;
    request.method_ = method;
    request.path_ = path;
    request.headers_["authorization"] = "Bearer " + testbed_.organisations_[plannedJobs_[job].organisation_].key_;
    request.body_ = body;
    if (!body.empty())
        request.headers_["content-type"] = "application/json";
    return client_.send(entry->callerAddress_, request, monotonicNow() + callTimeout, false);
}

void JobTracker::reschedule(std::size_t job, Duration after)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    dueActions_.push({ monotonicNow() + after, job });
    changed_.notify_one();
}

SentJob JobTracker::snapshot(std::size_t job) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return jobs_[job];
}

template <typename Function>
void JobTracker::update(std::size_t job, Function&& function)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    function(jobs_[job]);
}

}
