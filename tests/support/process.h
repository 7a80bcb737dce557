#pragma once

#include "base/time.h"
#include "http/cxxtoolshttpclient.h"
#include "settings/settings.h"

#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace fescuecleat::test {

/** Returns an address as "ip:port". */
inline std::string text(const Address& address)
{
    return address.ip_ + ":" + std::to_string(address.port_);
}

/** A program of build/bin started by a test. The kernel kills it if the test dies. */
class Process {
public:
    /** Starts `program` from the folder that the environment variable FESCUECLEAT_BIN names. */
    Process(const std::string& program, const std::vector<std::string>& arguments)
    {
        const char* folder = std::getenv("FESCUECLEAT_BIN");
        if (!folder)
            throw std::runtime_error("FESCUECLEAT_BIN is not set; run the test with ctest");
        const std::string path = std::string(folder) + "/" + program;
        std::vector<char*> argumentPointers { const_cast<char*>(path.c_str()) };
        for (const std::string& argument : arguments)
            argumentPointers.push_back(const_cast<char*>(argument.c_str()));
        argumentPointers.push_back(nullptr);
        pid_ = fork();
        if (pid_ < 0)
            throw std::runtime_error("can't fork");
        if (pid_ > 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        execv(path.c_str(), argumentPointers.data());
        _exit(127);
    }

    ~Process()
    {
        if (pid_ > 0)
            kill();
    }

    Process(Process&& other) noexcept
        : pid_(std::exchange(other.pid_, -1))
    {
    }
    Process& operator=(Process&&) = delete;
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t pid() const { return pid_; }

    void signal(int number) const { ::kill(pid_, number); }

    /** Kills the process with SIGKILL, like a crash. */
    void kill()
    {
        signal(SIGKILL);
        waitForEnd();
    }

    /** Sends SIGTERM and returns the result of waitForEnd(). */
    int stop()
    {
        signal(SIGTERM);
        return waitForEnd();
    }

    /** Waits for the end of the process. Returns its exit status, or the negative number of the signal that ended it. */
    int waitForEnd()
    {
        int status = 0;
        while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) { }
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }

private:
    pid_t pid_ = -1;
};

/** Polls the condition until it holds or the time has passed. Returns whether it held. */
template <typename Condition>
bool waitUntil(Condition&& condition, Duration timeout = std::chrono::seconds(10))
{
    const Time deadline = monotonicNow() + timeout;
    while (!condition()) {
        if (monotonicNow() >= deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

/** Waits until GET `path` gets any response. Returns false if none came in time. */
inline bool waitUntilReady(const Address& address, const std::string& path = "/health", Duration timeout = std::chrono::seconds(10))
{
    CxxtoolsHttpClient client;
    HttpRequest request;
    request.path_ = path;
    return waitUntil([&] { return client.send(address, request, monotonicNow() + std::chrono::seconds(1), false).has_value(); }, timeout);
}

}
