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

    std::string kindOf(const HttpRequest& request)
    {
        const auto found = request.query_.find("kind");
        return found == request.query_.end() ? "" : found->second;
    }

    Time deadlineOf(const HttpRequest& request)
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
        return receive(request, reply);
    reply(notFound(request));
}

void MinionModel::leave()
{
    isLeaving_ = true;
    log_.add(monotonicNow(), identity_.id_, "leaving");
}

void MinionModel::receive(const HttpRequest& request, const Reply& reply)
{
    const Work work { request, reply, deadlineOf(request) };
    note("received", request);
    if (busy_ < identity_.slots_)
        return begin(work);
    if (waiting_.size() >= static_cast<std::size_t>(identity_.queue_))
        return refuse(work, "queue full");
    waiting_.push_back(work);
}

void MinionModel::begin(const Work& work)
{
    ++busy_;
    note("started", work.request_);
    const long asked = requestWorkMilliseconds(work.request_.body_);
    const Duration time = asked < 0 ? identity_.workTime_ : Duration(std::chrono::milliseconds(asked));
    loop_.at(monotonicNow() + time, [this, work] { finish(work); });
}

void MinionModel::finish(const Work& work)
{
    --busy_;
    note("finished", work.request_);
    send(work, { 200, { { "content-type", "application/octet-stream" } }, expectedAnswer(kindOf(work.request_), work.request_.body_) });
    beginWaiting();
}

void MinionModel::beginWaiting()
{
    while (busy_ < identity_.slots_ && !waiting_.empty()) {
        const Work work = std::move(waiting_.front());
        waiting_.pop_front();
        if (monotonicNow() >= work.deadline_)
            refuse(work, "deadline passed in the queue");
        else
            begin(work);
    }
}

void MinionModel::refuse(const Work& work, const std::string& reason)
{
    note("refused", work.request_, reason);
    HttpResponse response = refusal(503, "not_started", reason);
    response.headers_["x-not-started"] = "1";
    send(work, std::move(response));
}

HttpResponse MinionModel::health() const
{
    JsonValue value = jsonObject();
    value.addMember("minion") <<= identity_.id_;
    value.addMember("service") <<= identity_.service_;
    value.addMember("slots") <<= identity_.slots_;
    value.addMember("busy") <<= busy_ + static_cast<int>(waiting_.size());
    value.addMember("leaving") <<= isLeaving_;
    HttpResponse response = jsonResponse(200, value);
    if (isLeaving_)
        response.headers_["x-leaving"] = "1";
    return response;
}

void MinionModel::send(const Work& work, HttpResponse response)
{
    response.headers_["x-request-id"] = header(work.request_, "x-request-id");
    if (isLeaving_)
        response.headers_["x-leaving"] = "1";
    work.reply_(response);
}

void MinionModel::note(const std::string& event, const HttpRequest& request, const std::string& reason)
{
    log_.add(monotonicNow(), identity_.id_, event,
        { { "request", header(request, "x-request-id") }, { "tag", requestTag(request.body_) }, { "key", header(request, "idempotency-key") }, { "kind", kindOf(request) }, { "reason", reason } });
}

}
