#include "load/repeat.h"

#include "http/cxxtoolshttpclient.h"
#include "load/balancer.h"
#include "load/evidencecollector.h"
#include "load/jobtracker.h"
#include "load/recorder.h"
#include "load/requestsender.h"
#include "load/stepexecutor.h"

#include <atomic>
#include <sstream>
#include <thread>

namespace fescuecleat {

namespace {

    constexpr Duration probeInterval = std::chrono::milliseconds(250);
    constexpr Duration progressInterval = std::chrono::seconds(1);
    /** Each sample reads the whole state of every process, so sampling is infrequent. */
    constexpr Duration sampleInterval = std::chrono::seconds(2);
    /** Delay before the first arrival, so that all threads have started by then. */
    constexpr Duration startDelay = std::chrono::milliseconds(200);

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    /** Joins its threads on destruction. */
    class ThreadGroup {
    public:
        ThreadGroup() = default;
        ~ThreadGroup() { join(); }
        ThreadGroup(const ThreadGroup&) = delete;
        ThreadGroup& operator=(const ThreadGroup&) = delete;

        template <typename Function>
        void add(Function&& function) { threads_.emplace_back(std::forward<Function>(function)); }

        void join()
        {
            for (std::thread& thread : threads_)
                thread.join();
            threads_.clear();
        }

    private:
        std::vector<std::thread> threads_;
    };

    /** Runs the senders, the job tracker, the steps and the monitoring of one repeat. */
    class RepeatRunner {
    public:
        RepeatRunner(const Testbed& testbed, const Experiment& experiment, const ArrivalPlan& plan, const ProgressCallback& progress)
            : experiment_(experiment)
            , plan_(plan)
            , progress_(progress)
            , balancer_(testbed, client_)
            , sender_(testbed, client_, balancer_)
            , collector_(testbed, client_)
            , testbed_(testbed)
        {
        }

        Result<RepeatRecord> run(std::uint64_t seed)
        {
            if (const Result<void> marked = collector_.markLogEnds(); !marked)
                return tl::unexpected<Error>(marked.error());
            balancer_.probe();
            if (!balancer_.next())
                return failure(ErrorKind::Unavailable, "no entry instance is ready", "start the testbed and wait until it is ready");
            start_ = monotonicNow() + startDelay;
            JobTracker jobs(testbed_, client_, balancer_, plan_.jobs_, start_);
            StepExecutor executor(testbed_, client_, jobs, recorder_);
            runLoad(jobs, executor);
            RepeatRecord record;
            record.seed_ = seed;
            record.start_ = start_;
            recorder_.with([&](Evidence& evidence) { record.evidence_ = std::move(evidence); });
            record.evidence_.jobs_ = jobs.finish();
            record.end_ = monotonicNow();
            if (const Result<void> collected = collector_.collect(record.evidence_); !collected)
                return tl::unexpected<Error>(collected.error());
            return record;
        }

    private:
        void runLoad(JobTracker& jobs, StepExecutor& executor)
        {
            ThreadGroup monitors;
            monitors.add([&] { sampleConfigurations(executor); });
            monitors.add([&] { probe(); });
            ThreadGroup steps;
            ThreadGroup senders;
            for (int i = 0; i < experiment_.senderThreads_; ++i)
                senders.add([this] { sendRequests(); });
            for (const TimedStep& step : experiment_.steps_) {
                sleepUntil(start_ + step.at_, jobs);
                steps.add([&executor, &step] { executor.execute(step.step_); });
            }
            sleepUntil(start_ + experiment_.duration_, jobs);
            senders.join();
            const Time end = start_ + experiment_.duration_ + experiment_.drainTime_;
            while (jobs.openJobCount() && monotonicNow() < end)
                sleepUntil(std::min(end, monotonicNow() + progressInterval), jobs);
            executor.stop();
            steps.join();
            executor.repair();
            isFinished_ = true;
        }

        /** Sends each request at its scheduled time; a late request keeps that time for the measures. */
        void sendRequests()
        {
            while (true) {
                const std::size_t index = nextRequest_++;
                if (index >= plan_.requests_.size())
                    return;
                const PlannedRequest& planned = plan_.requests_[index];
                const Time intended = start_ + planned.at_;
                std::this_thread::sleep_until(intended);
                recorder_.add(sender_.send(planned, intended));
                ++endedRequests_;
            }
        }

        void sampleConfigurations(StepExecutor& executor)
        {
            while (!isFinished_) {
                executor.sampleConfigurations();
                std::this_thread::sleep_for(sampleInterval);
            }
        }

        void probe()
        {
            while (!isFinished_) {
                balancer_.probe();
                std::this_thread::sleep_for(probeInterval);
            }
        }

        void sleepUntil(Time time, const JobTracker& jobs)
        {
            while (monotonicNow() < time) {
                std::this_thread::sleep_until(std::min(time, monotonicNow() + progressInterval));
                std::ostringstream line;
                line << static_cast<int>(seconds(monotonicNow() - start_)) << " s: requests " << endedRequests_ << "/" << plan_.requests_.size()
                     << ", jobs open " << jobs.openJobCount() << "/" << plan_.jobs_.size();
                progress_(line.str());
            }
        }

        const Experiment& experiment_;
        const ArrivalPlan& plan_;
        const ProgressCallback& progress_;
        CxxtoolsHttpClient client_;
        Balancer balancer_;
        RequestSender sender_;
        EvidenceCollector collector_;
        const Testbed& testbed_;
        Recorder recorder_;
        Time start_ { Duration::zero() };
        std::atomic<std::size_t> nextRequest_ { 0 };
        std::atomic<std::size_t> endedRequests_ { 0 };
        std::atomic<bool> isFinished_ { false };
    };

}

Result<RepeatRecord> runRepeat(const Testbed& testbed, const Experiment& experiment, const ArrivalPlan& plan, std::uint64_t seed, const ProgressCallback& progress)
{
    RepeatRunner runner(testbed, experiment, plan, progress);
    return runner.run(seed);
}

}
