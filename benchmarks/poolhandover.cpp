// A hand-over of the lease by the number of ended jobs whose rows are in the store: time and processor
// time until the new holder knows all jobs, memory it needs for them, and reads of the store.

#include "base/bootclock.h"
#include "node/poolfixture.h"
#include "node/storelayout.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>

using namespace fescuecleat;

namespace {

constexpr int openJobs = 100;
/** The largest page that the users' store returns. */
constexpr std::size_t pageRows = 500;
constexpr Duration limit = std::chrono::minutes(5);

std::string jobName(int number)
{
    char id[17];
    // Spread over the parts of the intake, as ids that callers draw.
    std::snprintf(id, sizeof(id), "%x%015d", static_cast<unsigned>(number % 16), number);
    return id;
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** Prints one line; returns false if the new holder didn't know all jobs in time. */
bool measure(int endedJobs)
{
    PoolFixture pool;
    pool.store_.setPageRows(pageRows);
    for (int i = 0; i < endedJobs + openJobs; ++i) {
        pool.submit(jobName(i), oneTask());
        if (i < endedJobs)
            pool.store_.put(JobRecorder::table, jobName(i), encodePoolJobRecord({ PoolJobState::Completed, {}, {}, wholeMilliseconds(bootTimeNow().time_since_epoch()) }), schedulerPart);
    }
    PoolController* controller = nullptr;
    Time acquiredAt {};
    std::size_t bytesBefore = 0;
    double processorBefore = 0;
    SchedulerUnderTest scheduler(pool.context_, "a", [&](PoolController& acquired) {
        controller = &acquired;
        acquiredAt = bootTimeNow();
        bytesBefore = mallinfo2().uordblks;
        processorBefore = processorSeconds();
    });
    const bool isRestored = pool.runUntil([&] { return controller != nullptr && controller->waitingJobs("queue") == openJobs; }, limit);
    std::printf("%8d ended, %d open: %8.1f ms, %8.1f ms of processor time, %7.1f MB, %s\n", endedJobs, openJobs,
        std::chrono::duration<double, std::milli>(bootTimeNow() - acquiredAt).count(), (processorSeconds() - processorBefore) * 1000,
        static_cast<double>(mallinfo2().uordblks - bytesBefore) / 1e6, isRestored && scheduler.controller() == controller ? "lease kept" : "LEASE LOST");
    return isRestored;
}

}

int main(int argc, char** argv)
{
    bool areRestored = true;
    if (argc < 2) {
        for (const int endedJobs : { 0, 1000, 10000, 100000, 230000 })
            areRestored = measure(endedJobs) && areRestored;
    }
    for (int i = 1; i < argc; ++i)
        areRestored = measure(std::atoi(argv[i])) && areRestored;
    return areRestored ? EXIT_SUCCESS : EXIT_FAILURE;
}
