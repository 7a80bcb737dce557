#include "callermessages.h"
#include "net/asynchttpclient.h"
#include "net/eventloop.h"
#include "node/instance.h"
#include "node/instancesettings.h"
#include "operatorrows.h"
#include "platformworkerclient.h"
#include "registryrows.h"
#include "rowstoreclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <popt.h>
#include <sodium.h>
#include <string>

using namespace fescuecleat;

namespace {

constexpr int exitUsageError = 64;
constexpr int exitConfigurationError = 78;
constexpr int exitUnavailable = 69;
/** Environment variable with the path of the settings file. */
constexpr const char* settingsVariable = "FESCUECLEAT_CONFIG";

Result<InstanceSettings> readSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return failure(ErrorKind::NotFound, "can't open " + path, "name a settings file with --settings");
    return parseInstanceSettings(std::string(std::istreambuf_iterator<char>(file), {}));
}

void awaitSignal(boost::asio::signal_set& signals, Instance& instance, JsonEventLog& log, boost::asio::io_context& loop, const std::string& path)
{
    signals.async_wait([&, path](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            const auto settings = readSettings(path);
            log.write("instance.reload", { { "isReadable", settings.has_value() }, { "effect", "addresses stay until the next start" } });
        } else {
            instance.stop([&loop] { loop.stop(); });
        }
        awaitSignal(signals, instance, log, loop, path);
    });
}

int run(const std::string& path, bool checkOnly)
{
    const auto settings = readSettings(path);
    if (!settings) {
        std::fprintf(stderr, "fescuecleat-poold: %s\n", describe(settings.error()).c_str());
        return exitConfigurationError;
    }
    if (checkOnly)
        return EXIT_SUCCESS;
    if (sodium_init() < 0) {
        std::fprintf(stderr, "fescuecleat-poold: libsodium can't be initialised\n");
        return exitUnavailable;
    }
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context loop(1);
    JsonEventLog log(settings->instance_);
    AsyncHttpClient client(loop);
    RowStoreClient ownPath(client, settings->store_);
    PeerRowStore peerPath(client);
    FailoverRowStore store(loop, ownPath, peerPath, log);
    PlatformWorkerClient workers(client);
    const OperatorRows operatorRows;
    const RegistryRows registryRows;
    const CallerMessages callerMessages;
    StoreClock clock;
    Instance instance({ loop, *settings, log, store, workers, operatorRows, registryRows, callerMessages, clock }, { ownPath, peerPath, store }, client);
    if (const auto started = instance.start(); !started) {
        std::fprintf(stderr, "fescuecleat-poold: %s\n", describe(started.error()).c_str());
        return exitUnavailable;
    }
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    awaitSignal(signals, instance, log, loop, path);
    runEventLoop(loop, [&instance](const std::string& cause) { instance.handleException(cause); });
    return EXIT_SUCCESS;
}

}

int main(int argc, const char** argv)
{
    char* settingsPath = nullptr;
    int checkOnly = 0;
    const poptOption options[] = {
        { "settings", 's', POPT_ARG_STRING, &settingsPath, 0, "the settings file; otherwise FESCUECLEAT_CONFIG names it", "FILE" },
        { "check", 'c', POPT_ARG_NONE, &checkOnly, 0, "check the settings and exit", nullptr },
        POPT_AUTOHELP POPT_TABLEEND
    };
    const poptContext context = poptGetContext("fescuecleat-poold", argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1 || poptPeekArg(context) != nullptr) {
        std::fprintf(stderr, "fescuecleat-poold: %s; see --help\n", parsed < -1 ? poptStrerror(parsed) : "no arguments are taken");
        poptFreeContext(context);
        return exitUsageError;
    }
    const char* const fromEnvironment = std::getenv(settingsVariable);
    std::string path = settingsPath != nullptr ? settingsPath : fromEnvironment != nullptr ? fromEnvironment
                                                                                           : "";
    std::free(settingsPath);
    poptFreeContext(context);
    if (path.empty()) {
        std::fprintf(stderr, "fescuecleat-poold: no settings; name a file with --settings or %s\n", settingsVariable);
        return exitUsageError;
    }
    return run(path, checkOnly != 0);
}
