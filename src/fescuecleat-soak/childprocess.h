#pragma once

#include "base/time.h"
#include "net/timer.h"
#include "node/lifetime.h"

#include <boost/asio/io_context.hpp>
#include <boost/process/child.hpp>
#include <functional>
#include <string>
#include <vector>

namespace fescuecleat::soak {

/** A program that the soak starts, signals and restarts; killed at the latest on destruction. */
class ChildProcess {
public:
    struct Command {
        std::string name_;
        std::string program_;
        std::vector<std::string> arguments_;
        /** Output of all runs is appended here. */
        std::string logFile_;
    };
    /** Called with what was wrong about an end. */
    using Report = std::function<void(const std::string&)>;

    ChildProcess(boost::asio::io_context&, Command, Report);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /** Does nothing if the program runs. */
    void start();
    /** SIGTERM, which must end the program within the limit. Calls `ended` once the program has ended, at once if it doesn't run. */
    void terminate(Duration limit, std::function<void()> ended);
    /** SIGKILL, also while the program is ending. */
    void kill(std::function<void()> ended);
    /** SIGSTOP; only while the program runs and isn't ending. */
    void pause();
    /** SIGCONT. */
    void resume();

    bool isRunning() const { return isRunning_; }
    bool isEnding() const { return isEnding_; }
    const std::string& name() const { return command_.name_; }

private:
    void handleExit(int status);
    void signal(int number);

    boost::asio::io_context& loop_;
    Command command_;
    Report report_;
    boost::process::child child_;
    bool isRunning_ = false;
    bool isEnding_ = false;
    /** The end that is awaited is the program's own after SIGTERM. */
    bool isTerminated_ = false;
    bool isPaused_ = false;
    std::vector<std::function<void()>> ended_;
    Timer terminationTimer_;
    Lifetime lifetime_;
};

}
