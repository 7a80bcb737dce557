#include "node/storeoutagescene.h"

#include "base/bootclock.h"

#include <boost/asio/post.hpp>
#include <cstdlib>

namespace fescuecleat {

using namespace std::chrono_literals;

namespace {

    constexpr int instanceCount = 3;
    constexpr int workerCount = 4;
    constexpr int jobCount = 8;
    /** More than the workers can run in the time that a test plays. */
    constexpr int tasksPerJob = 400;
    /** Run times differ by job, so that starts are spread over time. */
    constexpr Duration minRunTime = 300ms;
    constexpr Duration runTimeStep = 37ms;
    constexpr Duration maxWorkerLease = 6s;
    constexpr Duration tickLength = 2ms;
    constexpr Duration heartbeatInterval = 1500ms;
    constexpr Duration settlingLimit = 10s;
    constexpr Resources workerCapacity { 64000, 256000, 8 };

}

/** The path over the other instances, which refuse calls while their own paths are down. */
class ScenePeers : public RowStore {
public:
    struct Peer {
        const FailoverRowStore& failover_;
        RowStore& own_;
    };

    explicit ScenePeers(std::shared_ptr<boost::asio::io_context> loop)
        : loop_(std::move(loop))
    {
    }

    void add(const Peer& peer) { peers_.push_back(peer); }

    void commit(RowTransaction transaction, Duration timeout, CommitHandler handler) override
    {
        if (RowStore* const path = find())
            return path->commit(std::move(transaction), timeout, answerOnLoop(std::move(handler)));
        handler(refused());
    }

    void read(const RowRange& range, Duration timeout, PageHandler handler) override
    {
        if (RowStore* const path = find())
            return path->read(range, timeout, answerOnLoop(std::move(handler)));
        handler(refused());
    }

    void follow(const std::string& table, std::uint64_t after, Duration wait, Duration timeout, PageHandler handler) override
    {
        if (RowStore* const path = find())
            return path->follow(table, after, wait, timeout, answerOnLoop(std::move(handler)));
        handler(refused());
    }

private:
    template <typename Answer>
    std::function<void(Answer)> answerOnLoop(std::function<void(Answer)> handler) const
    {
        return [loop = loop_, handler = std::move(handler)](Answer answer) {
            boost::asio::post(*loop, [handler, answer = std::move(answer)] { handler(answer); });
        };
    }
    static tl::unexpected<StoreFailure> refused() { return tl::unexpected<StoreFailure>({ StoreFailureKind::Refused, {}, "no peer reaches the store" }); }

    RowStore* find() const
    {
        for (const Peer& peer : peers_) {
            if (peer.failover_.isOwnPathUp())
                return &peer.own_;
        }
        return nullptr;
    }

    std::shared_ptr<boost::asio::io_context> loop_;
    std::vector<Peer> peers_;
};

struct StoreOutageScene::SceneInstance {
    SceneInstance(StoreOutageScene& scene, int index, const std::string& name)
        : log_(name)
        , own_(scene.store_, loop_, [&scene](Time at, std::function<void()> event) { scene.workers_.schedule(at, std::move(event)); })
        , peers_(loop_)
        , failover_(*loop_, own_, peers_, log_)
        , workers_(scene.workers_.makeClient(index, loop_))
        , context_ { *loop_, settings_, log_, failover_, *workers_, scene.operatorFormat_, scene.registryFormat_, scene.callerFormat_, clock_ }
    {
        settings_.instance_ = name;
        settings_.maxWorkerLease_ = maxWorkerLease;
        scheduler_ = std::make_unique<SchedulerUnderTest>(context_, name);
        failover_.setAnswerListener([this] { boost::asio::post(*loop_, [this] { scheduler_->lease().storeAnswered(); }); });
    }

    std::shared_ptr<boost::asio::io_context> loop_ = std::make_shared<boost::asio::io_context>();
    InstanceSettings settings_;
    JsonEventLog log_;
    RelayRowStore own_;
    ScenePeers peers_;
    FailoverRowStore failover_;
    std::unique_ptr<PoolWorkerClient> workers_;
    StoreClock clock_;
    NodeContext context_;
    std::unique_ptr<SchedulerUnderTest> scheduler_;
};

StoreOutageScene::StoreOutageScene()
    : workers_(1, maxWorkerLease)
{
    workers_.addRoute("queue", "service");
    for (int i = 0; i < workerCount; ++i)
        workers_.addWorker("w" + std::to_string(i), { "service", "a", workerCapacity });
    for (int i = 0; i < instanceCount; ++i)
        instances_.push_back(std::make_unique<SceneInstance>(*this, i, "i" + std::to_string(i)));
    for (const auto& instance : instances_) {
        for (const auto& peer : instances_) {
            if (peer != instance)
                instance->peers_.add({ peer->failover_, peer->own_ });
        }
    }
    for (int i = 1; i <= jobCount; ++i)
        submitJob(i);
}

StoreOutageScene::~StoreOutageScene() = default;

void StoreOutageScene::submitJob(int number)
{
    const Duration runTime = minRunTime + number * runTimeStep;
    StepSpec step;
    step.taskCount_ = tasksPerJob;
    step.resources_ = { 1000, 1000, 1 };
    step.estimate_ = runTime;
    JobIntake intake;
    intake.policy_.queue_ = "queue";
    intake.policy_.service_ = "service";
    intake.policy_.maxAttempts_ = 3;
    intake.spec_.steps_.push_back(step);
    intake.submittedMs_ = wholeMilliseconds(bootTimeNow().time_since_epoch());
    const std::string id = std::string(15, '0') + std::to_string(number);
    workers_.addJob(id, "queue", ModelStep { step, runTime });
    store_.put(intakeTable, id, encodeJobIntake(intake), intakePartOf(id));
}

StoreOutageScene::SceneInstance* StoreOutageScene::holder()
{
    for (const auto& instance : instances_) {
        if (instance->scheduler_->lease().isHeld(bootTimeNow()))
            return instance.get();
    }
    return nullptr;
}

bool StoreOutageScene::settle()
{
    const Time deadline = bootTimeNow() + settlingLimit;
    while (starts_ < workerCount * static_cast<int>(workerCapacity.accelerators_) && bootTimeNow() < deadline)
        tick();
    run(2s);
    longestGap_ = {};
    return holder() != nullptr;
}

void StoreOutageScene::fail(StoreFault fault, Duration duration, bool onlyHolder)
{
    const SceneInstance* const affected = holder();
    for (const auto& instance : instances_) {
        if (!onlyHolder || instance.get() == affected)
            instance->own_.setFault(fault, bootTimeNow() + duration);
    }
}

void StoreOutageScene::run(Duration duration)
{
    const Time until = bootTimeNow() + duration;
    while (bootTimeNow() < until)
        tick();
}

void StoreOutageScene::tick()
{
    clock_.advance(tickLength);
    const Time now = bootTimeNow();
    if (now - registryWrittenAt_ >= heartbeatInterval) {
        registryWrittenAt_ = now;
        for (int i = 0; i < workerCount; ++i)
            store_.put("registry", "w" + std::to_string(i), "r0 " + std::to_string(workers_.born("w" + std::to_string(i))) + " ready service a 8");
    }
    workers_.runDue();
    VirtualClock::poll(storeLoop_);
    for (const auto& instance : instances_) {
        VirtualClock::poll(*instance->loop_);
        if (std::getenv("POOL_LOG") != nullptr)
            instance->log_.flush();
    }
    if (workers_.startCount() > starts_) {
        starts_ = workers_.startCount();
        lastStartAt_ = now;
    }
    longestGap_ = std::max(longestGap_, now - lastStartAt_);
}

std::int64_t StoreOutageScene::epoch() const
{
    const auto row = store_.value("lease", "pool");
    return row ? nlohmann::json::parse(*row).at("epoch").get<std::int64_t>() : 0;
}

}
