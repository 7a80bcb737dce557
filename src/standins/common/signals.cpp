#include "standins/common/signals.h"

#include <atomic>
#include <csignal>

namespace fescuecleat::standins {

namespace {

    std::atomic<EventLoop*> loopToStop { nullptr };

    void stopLoop(int)
    {
        if (EventLoop* loop = loopToStop)
            loop->stop();
    }

}

void stopOnSignals(EventLoop& loop)
{
    loopToStop = &loop;
    std::signal(SIGTERM, stopLoop);
    std::signal(SIGINT, stopLoop);
    std::signal(SIGPIPE, SIG_IGN);
}

}
