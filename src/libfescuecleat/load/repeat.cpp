#include "load/repeat.h"

#include "http/cxxtoolshttpclient.h"
#include "load/balancer.h"
#include "load/evidencecollector.h"
#include "load/jobtracker.h"
#include "load/operatorplayer.h"
#include "load/recorder.h"
#include "load/requestsender.h"

#include <atomic>
#include <sstream>
#include <thread>

namespace fescuecleat {

namespace {

    constexpr Duration probeInterval = std::chrono::milliseconds(250);
    constexpr Duration progressInterval = std::chrono::seconds(1);
    /** A whole dump of each process is asked for, so not too often. */
    constexpr Duration sampleInterval = std::chrono::seconds(2);
    /** Lead before the first arrival, so that every thread waits for it. */
    constexpr Duration leadTime = std::chrono::milliseconds(200);

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    /** Threads that end, and are waited for, with the scope. */
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

    /** One run of everything that sends, asks, breaks and watches. */
    class Repeat {
    public:
        Repeat(const Testbed& testbed, const Experiment& experiment, const ArrivalPlan& plan, const Progress& progress)
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
            if (const Result<void> marked = collector_.mark(); !marked)
                return tl::unexpected<Error>(marked.error());
            balancer_.probe();
            if (!balancer_.next())
                return failure(ErrorKind::Unavailable, "no entry instance is ready", "start the testbed and wait until it is ready");
            start_ = monotonicNow() + leadTime;
            JobTracker jobs(testbed_, client_, balancer_, plan_.jobs_, start_);
            OperatorPlayer player(testbed_, client_, jobs, recorder_);
            drive(jobs, player);
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
        void drive(JobTracker& jobs, OperatorPlayer& player)
        {
            ThreadGroup watchers;
            watchers.add([&] { watch(player); });
            watchers.add([&] { probe(); });
            ThreadGroup steps;
            ThreadGroup senders;
            for (int i = 0; i < experiment_.senders_; ++i)
                senders.add([this] { sendRequests(); });
            for (const TimedStep& step : experiment_.steps_) {
                sleepUntil(start_ + step.at_, jobs);
                steps.add([&player, &step] { player.play(step.step_); });
            }
            sleepUntil(start_ + experiment_.duration_, jobs);
            senders.join();
            const Time end = start_ + experiment_.duration_ + experiment_.drainTime_;
            while (jobs.openJobs() && monotonicNow() < end)
                sleepUntil(std::min(end, monotonicNow() + progressInterval), jobs);
            player.stop();
            steps.join();
            player.repair();
            isOver_ = true;
        }

        /** Requests wait for their own time; one that is late keeps its intended time. */
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
                ++ended_;
            }
        }

        void watch(OperatorPlayer& player)
        {
            while (!isOver_) {
                player.sampleConfigurations();
                std::this_thread::sleep_for(sampleInterval);
            }
        }

        void probe()
        {
            while (!isOver_) {
                balancer_.probe();
                std::this_thread::sleep_for(probeInterval);
            }
        }

        void sleepUntil(Time time, const JobTracker& jobs)
        {
            while (monotonicNow() < time) {
                std::this_thread::sleep_until(std::min(time, monotonicNow() + progressInterval));
                std::ostringstream line;
                line << static_cast<int>(seconds(monotonicNow() - start_)) << " s: requests " << ended_ << "/" << plan_.requests_.size()
                     << ", jobs open " << jobs.openJobs() << "/" << plan_.jobs_.size();
                progress_(line.str());
            }
        }

        const Experiment& experiment_;
        const ArrivalPlan& plan_;
        const Progress& progress_;
        CxxtoolsHttpClient client_;
        Balancer balancer_;
        RequestSender sender_;
        EvidenceCollector collector_;
        const Testbed& testbed_;
        Recorder recorder_;
        Time start_ { Duration::zero() };
        std::atomic<std::size_t> nextRequest_ { 0 };
        std::atomic<std::size_t> ended_ { 0 };
        std::atomic<bool> isOver_ { false };
    };

}

Result<RepeatRecord> runRepeat(const Testbed& testbed, const Experiment& experiment, const ArrivalPlan& plan, std::uint64_t seed, const Progress& progress)
{
    Repeat repeat(testbed, experiment, plan, progress);
    return repeat.run(seed);
}

}
