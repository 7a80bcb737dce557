#include "childprocess.h"

#include <boost/process.hpp>
#include <boost/process/extend.hpp>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <memory>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <utility>

namespace fescuecleat::soak {

namespace process = boost::process;

namespace {

    std::string describeStatus(int status)
    {
        if (WIFSIGNALED(status))
            return std::string("signal ") + std::to_string(WTERMSIG(status)) + " (" + strsignal(WTERMSIG(status)) + ")";
        return "exit status " + std::to_string(WEXITSTATUS(status));
    }

}

ChildProcess::ChildProcess(boost::asio::io_context& loop, Command command, Report report)
    : loop_(loop)
    , command_(std::move(command))
    , report_(std::move(report))
    , terminationTimer_(loop)
{
}

ChildProcess::~ChildProcess()
{
    if (!isRunning_)
        return;
    std::error_code error;
    child_.terminate(error);
    if (error)
        std::fprintf(stderr, "fescuecleat-soak: %s can't be ended: %s\n", command_.name_.c_str(), error.message().c_str());
}

void ChildProcess::start()
{
    if (isRunning_)
        return;
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> log(std::fopen(command_.logFile_.c_str(), "a"), &std::fclose);
    if (!log)
        throw std::runtime_error("can't open " + command_.logFile_ + ": " + std::strerror(errno));
    // Inherited handles would keep the proxies' connections open after the driver closes them.
    child_ = process::child(
        process::exe = command_.program_, process::args = command_.arguments_, process::std_in<process::null, (process::std_out & process::std_err)> log.get(),
        process::limit_handles, process::extend::on_exec_setup = [](auto&) { prctl(PR_SET_PDEATHSIG, SIGKILL); }, loop_,
        process::on_exit = lifetime_.guard([this](int, const std::error_code&) { handleExit(child_.native_exit_code()); }));
    isRunning_ = true;
    isEnding_ = false;
    isTerminated_ = false;
    isPaused_ = false;
}

void ChildProcess::terminate(Duration limit, std::function<void()> ended)
{
    if (!isRunning_)
        return ended();
    ended_.push_back(std::move(ended));
    if (isEnding_)
        return;
    resume();
    isEnding_ = true;
    isTerminated_ = true;
    signal(SIGTERM);
    terminationTimer_.start(limit, [this, limit] {
        report_("STOP " + command_.name_ + " still runs " + std::to_string(wholeMilliseconds(limit)) + " ms after SIGTERM");
        isTerminated_ = false;
        signal(SIGKILL);
    });
}

void ChildProcess::kill(std::function<void()> ended)
{
    if (!isRunning_)
        return ended();
    ended_.push_back(std::move(ended));
    isEnding_ = true;
    isTerminated_ = false;
    terminationTimer_.cancel();
    signal(SIGKILL);
}

void ChildProcess::pause()
{
    if (!isRunning_ || isEnding_)
        return;
    isPaused_ = true;
    signal(SIGSTOP);
}

void ChildProcess::resume()
{
    if (!isRunning_ || !isPaused_)
        return;
    isPaused_ = false;
    signal(SIGCONT);
}

void ChildProcess::signal(int number)
{
    if (::kill(child_.id(), number) != 0)
        std::fprintf(stderr, "fescuecleat-soak: signal %d to %s: %s\n", number, command_.name_.c_str(), std::strerror(errno));
}

void ChildProcess::handleExit(int status)
{
    isRunning_ = false;
    terminationTimer_.cancel();
    if (!isEnding_)
        report_("EXIT " + command_.name_ + " ended without being asked: " + describeStatus(status));
    else if (isTerminated_ && status != 0 && !(WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM)) // the signal may come before the program handles it
        report_("EXIT " + command_.name_ + " ended after SIGTERM with " + describeStatus(status));
    isEnding_ = false;
    for (const auto& ended : std::exchange(ended_, {}))
        ended();
}

}
