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

/** Time for threads and connections to end after a stop. */
constexpr Duration tearDownTimeout = std::chrono::seconds(3);

constexpr int optionSettings = 1;

int readArguments(int argc, const char** argv, std::vector<std::string>& files)
{
    char* file = nullptr;
    const poptOption options[] = {
        { "settings", 's', POPT_ARG_STRING, &file, optionSettings, "Settings file; the first is the base, each further one overrides it", "FILE" },
        POPT_AUTOHELP POPT_TABLEEND
    };
    poptContext context = poptGetContext("fescuecleatd", argc, argv, options, 0);
    int status = 0;
    while ((status = poptGetNextOpt(context)) == optionSettings) {
        files.emplace_back(file);
        // popt returns a copy that the caller frees.
        std::free(file);
        file = nullptr;
    }
    const bool isInvalid = status < -1 || poptPeekArg(context) || files.empty();
    if (isInvalid)
        std::cerr << "fescuecleatd: missing or invalid arguments; give --settings BASE and optionally --settings OVERLAY, see --help\n";
    poptFreeContext(context);
    return isInvalid ? exitUsage : exitOk;
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

/** Ends the process at once if a second signal arrives during the stop. */
void exitOnSecondSignal(const sigset_t& signals)
{
    std::thread([signals] {
        int signal = 0;
        sigwait(&signals, &signal);
        std::_Exit(exitCutOff);
    }).detach();
}

/**
 * Ends the process even if the teardown hangs: the HTTP library waits for TLS
 * handshakes that never complete. All durable state is written by then.
 */
void exitAfterTearDownTimeout(int status)
{
    std::thread([status] {
        std::this_thread::sleep_for(tearDownTimeout);
        std::_Exit(status);
    }).detach();
}

int run(const Settings& settings, const sigset_t& signals)
{
    Daemon daemon(settings);
    int signal = 0;
    sigwait(&signals, &signal);
    exitOnSecondSignal(signals);
    const int status = daemon.stop(monotonicNow() + settings.stopTimeout_) ? exitOk : exitCutOff;
    exitAfterTearDownTimeout(status);
    return status;
}

}

int main(int argc, const char** argv)
{
    std::vector<std::string> files;
    const int status = readArguments(argc, argv, files);
    if (status != exitOk)
        return status;
    const ValidationResult<Document> document = loadDocument(files);
    if (!document)
        return reportErrors(document.error());
    const ValidationResult<Settings> settings = parseSettings(document->merged_);
    if (!settings)
        return reportErrors(locateErrors(*document, settings.error()));
    // All threads inherit the blocked signals, so that only sigwait receives them.
    const sigset_t signals = blockStopSignals();
    setUpLog(*settings);
    try {
        return run(*settings, signals);
    } catch (const std::exception& error) {
        std::cerr << "fescuecleatd: " << error.what() << '\n';
        return exitStart;
    }
}
