#include "controlendpoint.h"
#include "poolstandin.h"
#include "standinsettings.h"

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
constexpr int exitUnavailable = 69;
constexpr int exitConfigurationError = 78;

Result<StandinSettings> readSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return failure(ErrorKind::NotFound, "can't open " + path, "name a settings file with --settings");
    return parseStandinSettings(std::string(std::istreambuf_iterator<char>(file), {}));
}

int fail(const Error& error, int code)
{
    std::fprintf(stderr, "fescuecleat-standin-pool: %s\n", describe(error).c_str());
    return code;
}

int run(const std::string& path)
{
    const auto settings = readSettings(path);
    if (!settings)
        return fail(settings.error(), exitConfigurationError);
    if (sodium_init() < 0) {
        std::fprintf(stderr, "fescuecleat-standin-pool: libsodium can't be initialised\n");
        return exitUnavailable;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const auto loop = std::make_shared<boost::asio::io_context>(1);
    PoolStandin standin(loop, *settings);
    if (const auto started = standin.start(); !started)
        return fail(started.error(), exitUnavailable);
    ControlEndpoint control(*loop, standin);
    if (const auto listening = control.listen(settings->control_); !listening)
        return fail(listening.error(), exitUnavailable);
    boost::asio::signal_set signals(*loop, SIGTERM, SIGINT);
    signals.async_wait([&loop](const boost::system::error_code&, int) { loop->stop(); });
    std::puts("ready");
    std::fflush(stdout);
    loop->run();
    return EXIT_SUCCESS;
}

}

int main(int argc, const char** argv)
{
    char* settingsPath = nullptr;
    const poptOption options[] = {
        { "settings", 's', POPT_ARG_STRING, &settingsPath, 0, "the settings file", "FILE" },
        POPT_AUTOHELP POPT_TABLEEND
    };
    const poptContext context = poptGetContext("fescuecleat-standin-pool", argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    const std::string path = settingsPath != nullptr ? settingsPath : "";
    std::free(settingsPath);
    if (parsed < -1 || poptPeekArg(context) != nullptr || path.empty()) {
        std::fprintf(stderr, "fescuecleat-standin-pool: %s; see --help\n", parsed < -1 ? poptStrerror(parsed) : "name one settings file with --settings");
        poptFreeContext(context);
        return exitUsageError;
    }
    poptFreeContext(context);
    return run(path);
}
