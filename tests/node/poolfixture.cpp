#include "node/poolfixture.h"

#include "base/bootclock.h"

#include <sstream>

namespace fescuecleat {

Result<WorkerInfo> FakeRegistryFormat::decode(const StoredRow& row) const
{
    std::istringstream text(row.value_);
    WorkerInfo info;
    std::string state;
    info.key_.id_ = row.key_;
    if (!(text >> info.rack_ >> info.key_.startedUnixMs_ >> state))
        return failure(ErrorKind::InvalidSyntax, "not a worker", "none");
    info.service_ = "service";
    info.dataCentre_ = "dc";
    info.endpoint_ = { "127.0.0.1", 1 };
    info.capacity_ = { 64000, 256000, 8 };
    std::string label;
    if (text >> info.service_ >> label)
        info.labels_ = { label, info.rack_ };
    std::int64_t accelerators = 0;
    if (text >> accelerators)
        info.capacity_ = { 8000 * accelerators, 32000 * accelerators, accelerators };
    info.isDraining_ = state == "draining";
    return info;
}

Result<PoolJobSpec> FakeCallerFormat::decodeJob(const std::string& body) const
{
    if (body.rfind("bad", 0) == 0)
        return failure(ErrorKind::InvalidSyntax, body, "none");
    PoolJobSpec spec;
    spec.steps_.push_back(oneTask());
    return spec;
}

SchedulerUnderTest::SchedulerUnderTest(const NodeContext& context, std::string instance, std::function<void(PoolController&)> prepare)
    : context_(context)
    , prepare_(std::move(prepare))
    , lease_(context.loop_, context.store_, context.clock_, context.log_, std::move(instance), 1.0,
          { [this](const AcquiredLease& lease) {
               controller_ = std::make_unique<PoolController>(context_, lease,
                   PoolController::Listener { [this] { return lease_.isHeld(bootTimeNow()); }, [this](const std::string& cause) { lease_.abandon(cause); }, [this](const std::string& cause) { lease_.verify(cause); } });
               controller_->setConfiguration(testConfiguration());
               if (prepare_)
                   prepare_(*controller_);
               controller_->start();
           },
              [this](const std::string&) {
                  boost::asio::post(context_.loop_, [controller = std::shared_ptr<PoolController>(std::move(controller_))] {});
              },
              [this] {
                  if (controller_)
                      controller_->resume();
              } })
{
    lease_.start();
}

PoolFixture::PoolFixture()
{
    settings_.instance_ = "test";
    settings_.maxWorkerLease_ = std::chrono::milliseconds(1500);
    settings_.maxRequestDelay_ = std::chrono::milliseconds(500);
}

bool PoolFixture::runUntil(const std::function<bool()>& condition, Duration limit)
{
    const Time deadline = bootTimeNow() + limit;
    while (!condition()) {
        if (bootTimeNow() >= deadline)
            return false;
        loop_.restart();
        loop_.run_for(std::chrono::milliseconds(2));
    }
    return true;
}

void PoolFixture::runFor(Duration duration)
{
    runUntil([] { return false; }, duration);
}

void PoolFixture::addWorker(const std::string& id, const std::string& rack)
{
    store_.put("registry", id, rack + " 1 ready");
    workers_.worker(id);
}

void PoolFixture::submit(const std::string& id, const StepSpec& step)
{
    JobIntake intake;
    intake.policy_.queue_ = "queue";
    intake.policy_.service_ = "service";
    intake.policy_.maxAttempts_ = 3;
    intake.spec_.steps_.push_back(step);
    intake.submittedMs_ = wholeMilliseconds(bootTimeNow().time_since_epoch());
    store_.put(intakeTable, id, encodeJobIntake(intake), intakePartOf(id));
}

std::unique_ptr<SchedulerUnderTest> PoolFixture::scheduler(const std::string& instance)
{
    return std::make_unique<SchedulerUnderTest>(context_, instance);
}

PoolJobState PoolFixture::recordedState(const std::string& id) const
{
    PoolJobRecord record;
    const auto value = store_.value(JobRecorder::table, id);
    if (!value || !decodePoolJobRecord(*value, record))
        return PoolJobState::Queued;
    return record.state_;
}

PoolConfiguration testConfiguration()
{
    PoolConfiguration configuration;
    configuration.services_ = { "service" };
    return configuration;
}

StepSpec oneTask()
{
    StepSpec step;
    step.resources_ = { 1000, 1000, 1 };
    step.estimate_ = std::chrono::seconds(5);
    return step;
}

StepSpec gang(int tasks)
{
    StepSpec step = oneTask();
    step.taskCount_ = tasks;
    step.resources_.accelerators_ = 8;
    step.isGang_ = true;
    return step;
}

}
