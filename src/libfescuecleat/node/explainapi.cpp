#include "node/explainapi.h"

#include "base/bootclock.h"
#include "net/asynchttpclient.h"
#include "pool/placementexplainer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescuecleat {

namespace {

    using Json = nlohmann::json;

    constexpr Duration passOnTimeout = std::chrono::milliseconds(2000);
    /** Says that a question was passed on, so that two instances that take each other for the holder don't do so for ever. */
    constexpr const char* passedOnQuery = "?passedOn";

    ServerResponse makeResponse(int status, const Json& body)
    {
        ServerResponse response;
        response.status_ = status;
        // A question may quote bytes that are not UTF-8.
        response.body_ = body.dump(-1, ' ', false, Json::error_handler_t::replace);
        return response;
    }

    ServerResponse makeError(int status, ErrorKind kind, const std::string& message, const std::string& remedy)
    {
        return makeResponse(status, { { "kind", errorKindName(kind) }, { "message", message }, { "remedy", remedy } });
    }

    Json encodeStep(const StepExplanation& step)
    {
        return { { "step", step.step_ }, { "waitingTasks", step.waitingTasks_ }, { "startsNow", step.startedTasks() }, { "workers", step.starts_ }, { "racks", step.racks_ },
            { "suitableWorkers", step.suitableWorkers_ }, { "tasksWithRoom", step.tasksWithRoom_ }, { "tasksWithRoomInOneRack", step.tasksWithRoomInOneRack_ }, { "waitsFor", waitCauseName(step.cause_) } };
    }

    Json encodeExplanation(const PlacementExplanation& explanation, Time now)
    {
        Json steps = Json::array();
        for (const StepExplanation& step : explanation.steps_)
            steps.push_back(encodeStep(step));
        return { { "priority", explanation.priority_ }, { "jobsAhead", explanation.jobsAhead_ }, { "targetInMs", wholeMilliseconds(explanation.targetCompletion_ - now) },
            { "creditEndsInMs", wholeMilliseconds(explanation.creditExpiry_ - now) }, { "preemptedRuns", explanation.preempted_ }, { "steps", std::move(steps) } };
    }

    const QueueConfiguration* findQueue(const PoolConfiguration& configuration, const std::string& name)
    {
        const auto queue = std::find_if(configuration.queues_.begin(), configuration.queues_.end(), [&name](const QueueConfiguration& candidate) { return candidate.name_ == name; });
        return queue == configuration.queues_.end() ? nullptr : &*queue;
    }

}

ExplainApi::ExplainApi(const NodeContext& context, AsyncHttpClient& client, Dependencies dependencies)
    : context_(context)
    , client_(client)
    , dependencies_(std::move(dependencies))
{
}

void ExplainApi::handle(const ServerRequest& request, const AsyncHttpServer::Respond& respond)
{
    if (request.method_ != "POST")
        return respond(makeError(405, ErrorKind::Unsupported, "the method is not supported", "use POST"));
    const PoolController* const controller = dependencies_.scheduler_();
    if (controller == nullptr)
        return passOn(request, respond);
    if (!controller->isReady())
        return respond(makeError(503, ErrorKind::Unavailable, "the scheduler is still loading its jobs", "try again in a few seconds"));
    const Json question = Json::parse(request.body_, nullptr, false);
    if (!question.is_object())
        return respond(makeError(400, ErrorKind::InvalidSyntax, "the body is not a JSON object", "name an id, or a queue and a job"));
    const Time now = bootTimeNow();
    PlacementExplainer explainer(controller->scheduler(), now, unixMsNow());
    if (const auto id = question.find("id"); id != question.end() && id->is_string()) {
        const auto explanation = explainer.explain(id->get<std::string>());
        return respond(explanation ? makeResponse(200, encodeExplanation(*explanation, now)) : makeError(404, ErrorKind::NotFound, "no open job has this id", "check the id; ended jobs are not explained"));
    }
    const auto configuration = dependencies_.configuration_();
    const auto name = question.find("queue");
    const auto job = question.find("job");
    if (!configuration || name == question.end() || !name->is_string() || job == question.end())
        return respond(makeError(400, ErrorKind::MissingMember, "the question names neither a job's id nor a queue and a job", "name an id, or a queue and a job"));
    const QueueConfiguration* const queue = findQueue(*configuration, name->get<std::string>());
    if (queue == nullptr)
        return respond(makeError(404, ErrorKind::NotFound, "no such queue", "name a queue of the configuration in force"));
    Result<PoolJobSpec> spec = context_.callerFormat_.decodeJob(job->dump());
    if (!spec)
        return respond(makeError(400, spec.error().kind_, spec.error().message_, spec.error().remedy_));
    const auto organisation = question.find("organisation");
    const bool hasOrganisation = organisation != question.end() && organisation->is_string();
    const JobPolicy policy { queue->name_, queue->service_, hasOrganisation ? organisation->get<std::string>() : std::string(), queue->priority_, queue->maxAttempts_, queue->stretch_, queue->latencyTarget_, queue->needsAdvice_, configuration->version_ };
    respond(makeResponse(200, encodeExplanation(explainer.explain(std::move(*spec), policy), now)));
}

void ExplainApi::passOn(const ServerRequest& request, const AsyncHttpServer::Respond& respond)
{
    const auto holder = dependencies_.holder_();
    const bool isPassedOn = request.path_ != path;
    if (!holder || isPassedOn)
        return respond(makeError(503, ErrorKind::Unavailable, "no instance is known to run the scheduler", "try again in a few seconds"));
    client_.call(*holder, "peer", { "POST", std::string(path) + passedOnQuery, {}, request.body_ }, passOnTimeout, [respond](const tl::expected<HttpAnswer, HttpFailure>& answer) {
        if (!answer)
            return respond(makeError(503, ErrorKind::Unavailable, "the instance that runs the scheduler gave no answer", "try again in a few seconds"));
        ServerResponse response;
        response.status_ = answer->status_;
        response.body_ = answer->body_;
        respond(std::move(response));
    });
}

}
