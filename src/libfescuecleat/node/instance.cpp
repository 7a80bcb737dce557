#include "node/instance.h"

#include "base/bootclock.h"
#include "base/overloaded.h"
#include "node/organisationmetrics.h"

#include <boost/asio/post.hpp>

namespace fescuecleat {

namespace {

    /** Wait of a long poll; short, because each answer confirms that the configuration is current. */
    constexpr Duration operatorPollWait = std::chrono::milliseconds(1000);
    /** Fraction of the revocation limit after which an unconfirmed configuration is no longer used. */
    constexpr double maxConfigurationAgeShare = 0.55;
    /** Without an answer of the store for longer than this, the instance reports that it isn't ready. */
    constexpr Duration maxStoreSilence = std::chrono::milliseconds(1600);
    constexpr Duration logFlushInterval = std::chrono::milliseconds(200);
    /** The load balancer probes every second and removes an instance after two failed probes. */
    constexpr Duration balancerRemovalDelay = std::chrono::milliseconds(2500);
    /** Part of the stop limit reserved for the exit of the process. */
    constexpr Duration exitReserve = std::chrono::milliseconds(1200);
    /** Transactions have at most 1 MB; the encoding adds to that. */
    constexpr std::uint64_t maxPeerBodyBytes = 2ULL << 20;
    /** Short and without retry: the feed delivers the row as well. */
    constexpr Duration announcementTimeout = std::chrono::milliseconds(500);
    constexpr const char* announcementPath = "/intake";
    constexpr Duration idleCheckInterval = std::chrono::milliseconds(50);

}

Instance::Instance(const NodeContext& context, const StorePaths& store, AsyncHttpClient& client)
    : context_(context)
    , store_(store)
    , operatorFollower_(context.loop_, context.store_, context.clock_, context.log_, { context.operatorFormat_.table() },
          pollWaitFor(maxViewAge(context.settings_.closureLimit_, PoolWorkerLink::requestTimeout), operatorPollWait, Duration::zero()),
          { [this](const std::vector<StoredRow>& rows) { resetOperatorRows(rows); }, [this](const StoredRow& row) { applyOperatorRow(row); }, nullptr })
    , lease_(context.loop_, context.store_, context.clock_, context.log_, context.settings_.instance_, context.settings_.processorShare_,
          { [this](const AcquiredLease& lease) { leaseAcquired(lease); }, [this](const std::string&) { leaseLost(); }, [this] { leaseResumed(); } })
    , directory_(context)
    , client_(client)
    , backlogView_(context)
    , jobApi_(context, { [this] { return configuration_; }, [this] { return isConfigurationCurrent(); }, [this] { return activeController(); }, [this](const StoredRow& row) { notifyScheduler(row); }, [this](const AdmissionRequest& request) { return backlogView_.refusal(request, bootTimeNow()); } })
    , explainApi_(context, client, { [this] { return configuration_; }, [this] { return activeController(); }, [this] { return directory_.addressOf(lease_.holder()); } })
    , callers_(context.loop_, [this](ServerRequest request, AsyncHttpServer::Respond respond) { jobApi_.handle(std::move(request), std::move(respond)); })
    , readiness_(context.loop_, [this](const ServerRequest&, const AsyncHttpServer::Respond& respond) {
        ServerResponse response;
        response.status_ = isReady() ? 200 : 503;
        respond(std::move(response));
    })
    , peers_(context.loop_, [this](const ServerRequest& request, const AsyncHttpServer::Respond& respond) { handlePeerRequest(request, respond); })
    , logTimer_(context.loop_)
    , stopTimer_(context.loop_)
{
    store_.failover_.setAnswerListener([this] {
        // Posted, so that the answer itself is handled first: it may be that of a renewal.
        if (lease_.isSuspended())
            boost::asio::post(context_.loop_, lifetime_.guard([this] { lease_.storeAnswered(); }));
    });
    HttpLimits limits;
    limits.maxBodyBytes_ = maxPeerBodyBytes;
    peers_.setLimits(limits);
    store_.peers_.setDirectory({ [this] { return directory_.candidates(); },
        [this](const SocketAddress& peer, bool hasAnswered) {
            if (hasAnswered)
                directory_.markReachable(peer);
            else
                directory_.markFailed(peer);
        } });
}

Instance::~Instance()
{
    store_.failover_.setAnswerListener(nullptr);
}

Result<void> Instance::start()
{
    context_.log_.write("instance.start", { { "dataCentre", context_.settings_.dataCentre_ }, { "store", toString(context_.settings_.store_) } });
    flushLog();
    if (auto listening = callers_.listen(context_.settings_.callers_); !listening)
        return listening;
    if (auto listening = readiness_.listen(context_.settings_.readiness_); !listening)
        return listening;
    if (auto listening = peers_.listen(context_.settings_.peers_); !listening)
        return listening;
    operatorFollower_.start();
    backlogView_.start();
    lease_.start();
    directory_.start();
    return {};
}

void Instance::flushLog()
{
    context_.log_.flush();
    logTimer_.start(logFlushInterval, [this] { flushLog(); });
}

void Instance::resetOperatorRows(const std::vector<StoredRow>& rows)
{
    closedDataCentres_.clear();
    for (const StoredRow& row : rows)
        applyOperatorRow(row);
    if (controller_)
        controller_->setClosedDataCentres(closedDataCentres_);
}

void Instance::applyOperatorRow(const StoredRow& row)
{
    const OperatorChange change = context_.operatorFormat_.decode(row);
    std::visit(Overloaded {
                   [](const IgnoredRow&) {},
                   [this, &row](const UnreadableRow& unreadable) {
                       context_.log_.write("operator.unreadable", { { "key", row.key_ }, { "version", row.version_ }, { "cause", unreadable.reason_ } });
                   },
                   [this](const PoolConfiguration& configuration) { apply(configuration); },
                   [this](const DataCentreClosure& closure) { apply(closure); },
               },
        change);
}

void Instance::apply(const PoolConfiguration& configuration)
{
    if (configuration_ && configuration_->version_ >= configuration.version_)
        return;
    context_.log_.write("configuration.applied", { { "version", configuration.version_ }, { "former", configuration_ ? configuration_->version_ : 0 }, { "queues", configuration.queues_.size() }, { "organisations", configuration.organisations_.size() } });
    configuration_ = std::make_shared<const PoolConfiguration>(configuration);
    HttpLimits limits;
    limits.maxHeaderBytes_ = configuration.maxHeaderBytes_;
    limits.maxBodyBytes_ = configuration.maxBodyBytes_;
    limits.requestTimeout_ = configuration.requestTimeout_;
    limits.idleTimeout_ = configuration.idleTimeout_;
    callers_.setLimits(limits);
    if (controller_)
        controller_->setConfiguration(configuration);
}

void Instance::apply(const DataCentreClosure& closure)
{
    context_.log_.write("data_centre.closure", { { "dataCentre", closure.dataCentre_ }, { "isClosed", closure.isClosed_ } });
    if (closure.isClosed_)
        closedDataCentres_.insert(closure.dataCentre_);
    else
        closedDataCentres_.erase(closure.dataCentre_);
    if (controller_)
        controller_->setClosedDataCentres(closedDataCentres_);
}

bool Instance::isConfigurationCurrent() const
{
    const auto limit = std::chrono::duration_cast<Duration>(context_.settings_.revocationLimit_ * maxConfigurationAgeShare);
    return bootTimeNow() - operatorFollower_.currentAsOf() < limit;
}

bool Instance::isReady() const
{
    return !isStopping_ && configuration_ && isConfigurationCurrent() && context_.clock_.lastAnswerAt() + maxStoreSilence > bootTimeNow();
}

void Instance::leaseAcquired(const AcquiredLease& lease)
{
    controller_ = std::make_unique<PoolController>(context_, lease,
        PoolController::Listener { [this] { return lease_.isHeld(bootTimeNow()); }, [this](const std::string& cause) { lease_.abandon(cause); }, [this](const std::string& cause) { lease_.verify(cause); }, [this] { return operatorFollower_.currentAsOf(); } });
    if (configuration_)
        controller_->setConfiguration(*configuration_);
    controller_->setClosedDataCentres(closedDataCentres_);
    controller_->start();
}

void Instance::leaseLost()
{
    // Deferred, because the controller itself may have caused this call.
    boost::asio::post(context_.loop_, [controller = std::shared_ptr<PoolController>(std::move(controller_))] {});
}

void Instance::leaseResumed()
{
    operatorFollower_.refresh();
    if (controller_)
        controller_->resume();
}

PoolController* Instance::activeController() const
{
    return lease_.isHeld(bootTimeNow()) ? controller_.get() : nullptr;
}

void Instance::handleException(const std::string& cause)
{
    ++exceptions_;
    context_.log_.write("instance.exception", { { "cause", cause }, { "isScheduler", controller_ != nullptr } });
    // Its handlers may not have completed; the next holder restores the state from the store.
    if (controller_)
        lease_.abandon("an exception: " + cause);
}

void Instance::stop(std::function<void()> done)
{
    if (isStopping_)
        return;
    isStopping_ = true;
    context_.log_.write("instance.stop", { { "callsInProgress", callers_.requestsInProgress() } });
    const Time now = bootTimeNow();
    const Time deadline = now + context_.settings_.stopLimit_ - exitReserve;
    lease_.release([] {});
    directory_.unregisterSelf();
    stopTimer_.start(std::min(balancerRemovalDelay, remaining(deadline, now)), [this, deadline, done = std::move(done)] {
        callers_.stopListening();
        callers_.drain();
        awaitIdle(deadline, done);
    });
}

void Instance::awaitIdle(Time deadline, std::function<void()> done)
{
    if (callers_.requestsInProgress() == 0 || bootTimeNow() >= deadline) {
        context_.log_.write("instance.stopped", { { "callsInProgress", callers_.requestsInProgress() } });
        context_.log_.flush();
        return done();
    }
    stopTimer_.start(idleCheckInterval, [this, deadline, done = std::move(done)] { awaitIdle(deadline, done); });
}

void Instance::handlePeerRequest(const ServerRequest& request, const AsyncHttpServer::Respond& respond)
{
    if (request.path_ == PeerRowStore::path)
        return handlePeerStoreCall(request.body_, respond);
    if (request.path_ == announcementPath)
        return handleAnnouncement(request.body_, respond);
    if (request.path_.substr(0, request.path_.find('?')) == ExplainApi::path)
        return explainApi_.handle(request, respond);
    ServerResponse response;
    response.status_ = request.path_ == "/metrics" ? 200 : 404;
    response.contentType_ = "text/plain";
    if (response.status_ == 200)
        response.body_ = metrics();
    respond(std::move(response));
}

void Instance::handlePeerStoreCall(const std::string& body, const AsyncHttpServer::Respond& respond)
{
    if (store_.failover_.isOwnPathUp())
        return PeerRowStore::serve(store_.own_, body, respond);
    ServerResponse response;
    response.status_ = 503;
    respond(std::move(response));
}

void Instance::notifyScheduler(const StoredRow& row)
{
    if (controller_)
        return controller_->handleStoredIntake(row);
    const auto scheduler = directory_.addressOf(lease_.holder());
    if (!scheduler)
        return;
    const StoreOutcome announcement = RowPage { { row }, false, {} };
    client_.call(*scheduler, "peer", { "POST", announcementPath, {}, encodeStoreOutcome(announcement) }, announcementTimeout, [](const tl::expected<HttpAnswer, HttpFailure>&) {});
}

void Instance::handleAnnouncement(const std::string& body, const AsyncHttpServer::Respond& respond)
{
    const auto announcement = decodeStoreOutcome(body);
    ServerResponse response;
    response.status_ = announcement && announcement->has_value() ? 200 : 400;
    if (response.status_ == 200 && controller_) {
        for (const StoredRow& row : (*announcement)->rows_)
            controller_->handleStoredIntake(row);
    }
    respond(std::move(response));
}

std::string Instance::metrics() const
{
    std::string text;
    const auto add = [&text](const std::string& name, std::uint64_t value) { text += "fescuecleat_" + name + " " + std::to_string(value) + "\n"; };
    for (const auto& [status, count] : jobApi_.answersByStatus())
        add("answers_total{status=\"" + std::to_string(status) + "\"}", count);
    add("configuration_version", configuration_ ? configuration_->version_ : 0);
    add("is_scheduler", activeController() != nullptr ? 1 : 0);
    add("lease_suspended", lease_.isSuspended() ? 1 : 0);
    add("lease_resumptions_total", lease_.resumptions());
    text += "fescuecleat_lease_suspended_seconds_total " + std::to_string(std::chrono::duration<double>(lease_.suspendedTime(bootTimeNow())).count()) + "\n";
    add("store_own_path_up", store_.failover_.isOwnPathUp() ? 1 : 0);
    add("exceptions_total", exceptions_);
    add("jobs_refused_total", jobApi_.refusedJobs());
    add("log_lines_dropped_total", context_.log_.droppedLines());
    if (controller_) {
        add("jobs_open", controller_->openJobs());
        add("workers", controller_->state().workers_.size());
        add("runs", controller_->state().runs_.size());
        add("run_limit", controller_->state().runLimit_);
        add("worker_crashes_total", controller_->workerCrashes());
        add("deadly_tasks_total", controller_->deadlyTasks());
        const OverloadState& overload = controller_->state().overload_;
        add("jobs_postponed", overload.postponed_.size());
        add("jobs_postponed_total", overload.postponedJobs_);
        text += "fescuecleat_backlog_seconds " + std::to_string(overload.backlogSeconds_) + "\n";
        add("slow_activities_total", controller_->times().slowCount());
        text += preemptionMetrics(controller_->state().preemptionAccount_);
        text += controller_->times().metrics();
        const ViewTimes views = controller_->viewTimes();
        const Time now = bootTimeNow();
        for (const auto& [view, asOf] : { std::pair { View::Registry, views.registry_ }, { View::OperatorRows, views.operatorRows_ }, { View::Intake, views.intake_ } })
            text += std::string("fescuecleat_view_age_seconds{view=\"") + viewName(view) + "\"} " + std::to_string(std::chrono::duration<double>(now - asOf).count()) + "\n";
        for (const auto& [cause, count] : controller_->startGate().withheldByCause())
            add("starts_withheld_total{cause=\"" + cause + "\"}", count);
        text += organisationMetrics(controller_->state());
    }
    return text;
}

}
