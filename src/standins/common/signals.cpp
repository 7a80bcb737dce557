#include "standins/common/signals.h"

#include <atomic>
#include <csignal>

namespace fescuecleat::standins {

namespace {

    std::atomic<EventLoop*> stoppedLoop { nullptr };

    void stopLoop(int)
    {
        if (EventLoop* loop = stoppedLoop)
            loop->stop();
    }

}

void stopOnSignals(EventLoop& loop)
{
    stoppedLoop = &loop;
    std::signal(SIGTERM, stopLoop);
    std::signal(SIGINT, stopLoop);
    std::signal(SIGPIPE, SIG_IGN);
}

}
