#include "standins/minion/minionmodel.h"

#include "load/expectedanswer.h"
#include "standins/common/faultport.h"

#include <cstdlib>
#include <utility>

namespace fescuecleat::standins {

namespace {

    std::string header(const HttpRequest& request, const std::string& name)
    {
        const auto found = request.headers_.find(name);
        return found == request.headers_.end() ? "" : found->second;
    }

    std::string requestKind(const HttpRequest& request)
    {
        const auto found = request.query_.find("kind");
        return found == request.query_.end() ? "" : found->second;
    }

    Time requestDeadline(const HttpRequest& request)
    {
        const std::string text = header(request, "x-deadline-ms");
        if (text.empty())
            return Time::max();
        return monotonicNow() + std::chrono::milliseconds(std::strtoll(text.c_str(), nullptr, 10));
    }

}

MinionModel::MinionModel(MinionIdentity identity, EventLoop& loop, EventLog& log)
    : identity_(std::move(identity))
    , loop_(loop)
    , log_(log)
{
}

void MinionModel::handle(const HttpRequest& request, const Reply& reply)
{
    if (request.method_ == "GET" && request.path_ == "/v1/health")
        return reply(health());
    if (request.method_ == "POST" && request.path_ == "/v1/work")
        return enqueue(request, reply);
    reply(notFound(request));
}

void MinionModel::startLeaving()
{
    isLeaving_ = true;
    log_.add(monotonicNow(), identity_.id_, "leaving");
}

void MinionModel::enqueue(const HttpRequest& request, const Reply& reply)
{
    const Work work { request, reply, requestDeadline(request) };
    logEvent("received", request);
    if (busySlots_ < identity_.slots_)
        return start(work);
    if (queue_.size() >= static_cast<std::size_t>(identity_.queueLimit_))
        return refuse(work, "queue full");
    queue_.push_back(work);
}

void MinionModel::start(const Work& work)
{
    ++busySlots_;
    logEvent("started", work.request_);
    const long requestedMs = requestWorkMilliseconds(work.request_.body_);
    const Duration workTime = requestedMs < 0 ? identity_.defaultWorkTime_ : Duration(std::chrono::milliseconds(requestedMs));
    loop_.runAt(monotonicNow() + workTime, [this, work] { finish(work); });
}

void MinionModel::finish(const Work& work)
{
    --busySlots_;
    logEvent("finished", work.request_);
    respond(work, { 200, { { "content-type", "application/octet-stream" } }, expectedAnswer(requestKind(work.request_), work.request_.body_) });
    startQueued();
}

void MinionModel::startQueued()
{
    while (busySlots_ < identity_.slots_ && !queue_.empty()) {
        const Work work = std::move(queue_.front());
        queue_.pop_front();
        if (monotonicNow() >= work.deadline_)
            refuse(work, "deadline passed in the queue");
        else
            start(work);
    }
}

void MinionModel::refuse(const Work& work, const std::string& reason)
{
    logEvent("refused", work.request_, reason);
    HttpResponse response = errorResponse(503, "not_started", reason);
    response.headers_["x-not-started"] = "1";
    respond(work, std::move(response));
}

HttpResponse MinionModel::health() const
{
    JsonValue value = jsonObject();
    value.addMember("minion") <<= identity_.id_;
    value.addMember("service") <<= identity_.service_;
    value.addMember("slots") <<= identity_.slots_;
    value.addMember("busy") <<= busySlots_ + static_cast<int>(queue_.size());
    value.addMember("leaving") <<= isLeaving_;
    HttpResponse response = jsonResponse(200, value);
    if (isLeaving_)
        response.headers_["x-leaving"] = "1";
    return response;
}

void MinionModel::respond(const Work& work, HttpResponse response)
{
    response.headers_["x-request-id"] = header(work.request_, "x-request-id");
    if (isLeaving_)
        response.headers_["x-leaving"] = "1";
    work.reply_(response);
}

void MinionModel::logEvent(const std::string& event, const HttpRequest& request, const std::string& reason)
{
    log_.add(monotonicNow(), identity_.id_, event,
        { { "request", header(request, "x-request-id") }, { "tag", requestTag(request.body_) }, { "key", header(request, "idempotency-key") }, { "kind", requestKind(request) }, { "reason", reason } });
}

}
