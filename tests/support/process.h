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

/** "ip:port" of an address. */
inline std::string text(const Address& address)
{
    return address.ip_ + ":" + std::to_string(address.port_);
}

/** A program of build/bin that a test started. It ends with the test, also if the test dies. */
class Process {
public:
    /** Starts bin/`program`; FESCUECLEAT_BIN names the folder. */
    Process(const std::string& program, const std::vector<std::string>& arguments)
    {
        const char* folder = std::getenv("FESCUECLEAT_BIN");
        if (!folder)
            throw std::runtime_error("FESCUECLEAT_BIN is not set; run the test by ctest");
        const std::string path = std::string(folder) + "/" + program;
        std::vector<char*> words { const_cast<char*>(path.c_str()) };
        for (const std::string& argument : arguments)
            words.push_back(const_cast<char*>(argument.c_str()));
        words.push_back(nullptr);
        pid_ = fork();
        if (pid_ < 0)
            throw std::runtime_error("fork failed");
        if (pid_ > 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        execv(path.c_str(), words.data());
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

    /** Ends it at once, as a crash does. */
    void kill()
    {
        signal(SIGKILL);
        waitForEnd();
    }

    /** Asks it to stop and returns its exit status. */
    int stop()
    {
        signal(SIGTERM);
        return waitForEnd();
    }

    /** Exit status, or minus the number of the signal that ended it. */
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

/** Calls until the condition holds or the time is up; true if it held. */
template <typename Condition>
bool waitUntil(Condition&& condition, Duration longest = std::chrono::seconds(10))
{
    const Time deadline = monotonicNow() + longest;
    while (!condition()) {
        if (monotonicNow() >= deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

/** True once something answers GET `path` there. */
inline bool waitUntilReady(const Address& address, const std::string& path = "/health", Duration longest = std::chrono::seconds(10))
{
    CxxtoolsHttpClient client;
    HttpRequest request;
    request.path_ = path;
    return waitUntil([&] { return client.send(address, request, monotonicNow() + std::chrono::seconds(1), false).has_value(); }, longest);
}

}
