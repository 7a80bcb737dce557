#include "daemon/daemon.h"
#include "settings/settingsloader.h"
#include "settings/settingsparser.h"
#include "telemetry/log.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <popt.h>
#include <pthread.h>
#include <string>
#include <thread>
#include <vector>

using namespace fescuecleat;

namespace {

constexpr int exitOk = 0;
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitStart = 4;
constexpr int exitCutOff = 5;

/** Time that threads and connections get to end after a stop. */
constexpr Duration tearDownTime = std::chrono::seconds(3);

constexpr int optionSettings = 1;

int readArguments(int argc, const char** argv, std::vector<std::string>& files)
{
    char* file = nullptr;
    const poptOption options[] = {
        { "settings", 's', POPT_ARG_STRING, &file, optionSettings, "Settings file; the first is the base, each further one is laid over it", "FILE" },
        POPT_AUTOHELP POPT_TABLEEND
    };
    poptContext context = poptGetContext("fescuecleatd", argc, argv, options, 0);
    int status = 0;
    while ((status = poptGetNextOpt(context)) == optionSettings) {
        files.emplace_back(file);
        // popt hands the copy over.
        std::free(file);
        file = nullptr;
    }
    const bool isBad = status < -1 || poptPeekArg(context) || files.empty();
    if (isBad)
        std::cerr << "fescuecleatd: give --settings BASE and, if there are any, --settings OVERLAY; see --help\n";
    poptFreeContext(context);
    return isBad ? exitUsage : exitOk;
}

int reportErrors(const std::vector<Error>& errors)
{
    for (const Error& error : errors)
        std::cerr << "fescuecleatd: " << describe(error) << '\n';
    return exitSettings;
}

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/** A second signal during the stop ends the process at once. */
void exitOnSignal(const sigset_t& signals)
{
    std::thread([signals] {
        int signal = 0;
        sigwait(&signals, &signal);
        std::_Exit(exitCutOff);
    }).detach();
}

/**
 * Ends the process even if tearing down takes for ever: the HTTP library waits
 * for TLS handshakes that never end. Everything that lasts is written by then.
 */
void exitSoon(int status)
{
    std::thread([status] {
        std::this_thread::sleep_for(tearDownTime);
        std::_Exit(status);
    }).detach();
}

int run(const Settings& settings, const sigset_t& signals)
{
    Daemon daemon(settings);
    int signal = 0;
    sigwait(&signals, &signal);
    exitOnSignal(signals);
    const int status = daemon.stop(monotonicNow() + settings.stopTime_) ? exitOk : exitCutOff;
    exitSoon(status);
    return status;
}

}

int main(int argc, const char** argv)
{
    std::vector<std::string> files;
    const int status = readArguments(argc, argv, files);
    if (status != exitOk)
        return status;
    const Checked<Document> document = loadDocument(files);
    if (!document)
        return reportErrors(document.error());
    const Checked<Settings> settings = parseSettings(document->merged_);
    if (!settings)
        return reportErrors(locateErrors(*document, settings.error()));
    // Every thread inherits the blocked signals, so only sigwait sees them.
    const sigset_t signals = blockStopSignals();
    setUpLog(*settings);
    try {
        return run(*settings, signals);
    } catch (const std::exception& error) {
        std::cerr << "fescuecleatd: " << error.what() << '\n';
        return exitStart;
    }
}
