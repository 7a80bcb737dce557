#include "net/asynchttpclient.h"
#include "soakrun.h"
#include "soakshrinker.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <popt.h>
#include <stdexcept>
#include <string>

using namespace fescuecleat;
using namespace fescuecleat::soak;

namespace {

constexpr int exitViolations = 1;
constexpr int exitUsageError = 64;
constexpr int exitUnavailable = 69;
constexpr int maxShrinkRuns = 24;

/** Options of the command line. */
struct Options {
    long seed_ = 1;
    int count_ = 1;
    int seconds_ = 20;
    int instances_ = 12;
    int workers_ = 24;
    const char* bin_ = ".";
    const char* output_ = "soak";
    const char* replay_ = nullptr;
    int shrinks_ = 0;
    int firstPort_ = 19500;
};

Options parse(int argc, const char** argv)
{
    Options options;
    const poptOption table[] = {
        { "seed", 's', POPT_ARG_LONG | POPT_ARGFLAG_SHOW_DEFAULT, &options.seed_, 0, "seed of the first schedule", "N" },
        { "count", 'c', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.count_, 0, "number of seeds, one after another", "N" },
        { "seconds", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.seconds_, 0, "length of the disturbed part", "S" },
        { "instances", 'i', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.instances_, 0, "number of instances", "N" },
        { "workers", 'w', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.workers_, 0, "number of workers", "N" },
        { "bin", 'b', POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &options.bin_, 0, "folder of the programs", "DIR" },
        { "output", 'o', POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &options.output_, 0, "folder for schedules, logs and results", "DIR" },
        { "replay", 'r', POPT_ARG_STRING, &options.replay_, 0, "plays a written schedule", "FILE" },
        { "shrink", 0, POPT_ARG_NONE, &options.shrinks_, 0, "looks for a shorter schedule that still fails", nullptr },
        { "first-port", 'p', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.firstPort_, 0, "first port on loopback; uses about 200 and one for each worker", "N" },
        POPT_AUTOHELP POPT_TABLEEND
    };
    const poptContext context = poptGetContext("fescuecleat-soak", argc, argv, table, 0);
    const int parsed = poptGetNextOpt(context);
    const bool hasArguments = poptPeekArg(context) != nullptr;
    poptFreeContext(context);
    if (parsed < -1 || hasArguments)
        throw std::invalid_argument(parsed < -1 ? poptStrerror(parsed) : "no arguments are taken");
    if (options.seed_ < 0 || options.count_ < 1 || options.seconds_ < 1 || options.instances_ < 1 || options.workers_ < 1)
        throw std::invalid_argument("numbers must be positive");
    for (const char* const program : { "fescuecleat-poold", "fescuecleat-standin-pool" }) {
        if (!std::filesystem::exists(std::filesystem::path(options.bin_) / program))
            throw std::runtime_error(std::string(program) + " isn't in " + options.bin_ + "; name its folder with --bin");
    }
    return options;
}

void writeFile(const std::filesystem::path& path, const std::string& text)
{
    std::ofstream file(path);
    file << text;
    if (!file.flush())
        throw TestbedError("can't write " + path.string());
}

/** Plays a schedule in a folder of its own. */
SoakOutcome play(const Options& options, const SoakSchedule& schedule, const std::filesystem::path& folder)
{
    std::filesystem::create_directories(folder);
    writeFile(folder / "schedule.json", encodeSchedule(schedule).dump(4) + "\n");
    boost::asio::io_context loop(1);
    boost::asio::signal_set signals(loop, SIGINT, SIGTERM);
    signals.async_wait([](const boost::system::error_code& error, int signal) {
        if (!error)
            throw std::runtime_error("ended by signal " + std::to_string(signal));
    });
    AsyncHttpClient client(loop);
    SoakTestbed::Settings settings;
    settings.bin_ = options.bin_;
    settings.folder_ = folder.string();
    settings.firstPort_ = options.firstPort_;
    SoakOutcome outcome = SoakRun(loop, client, schedule, settings).run();
    std::string violations;
    for (const std::string& violation : outcome.violations_)
        violations += violation + "\n";
    writeFile(folder / "violations.txt", violations);
    writeFile(folder / "result.json", outcome.toJson().dump(4) + "\n");
    return outcome;
}

/** The rule that a violation breaks: its first word. */
std::string ruleOf(const std::string& violation) { return violation.substr(0, violation.find(' ')); }

void shrink(const Options& options, const SoakSchedule& schedule, const std::string& rule, const std::filesystem::path& folder)
{
    int number = 0;
    SoakShrinker shrinker([&](const SoakSchedule& shorter) {
        const std::filesystem::path runFolder = folder / ("shrink-" + std::to_string(++number));
        const SoakOutcome outcome = play(options, shorter, runFolder);
        const bool fails = std::any_of(outcome.violations_.begin(), outcome.violations_.end(), [&rule](const std::string& violation) { return ruleOf(violation) == rule; });
        std::fprintf(stderr, "%s: %zu actions, %s\n", runFolder.c_str(), shorter.actions_.size(), fails ? "fails" : "holds");
        return fails;
    },
        maxShrinkRuns);
    const SoakSchedule shortest = shrinker.shrink(schedule);
    writeFile(folder / "shortest.json", encodeSchedule(shortest).dump(4) + "\n");
}

/** Returns whether all promises were kept. */
bool playAndReport(const Options& options, const SoakSchedule& schedule)
{
    const std::filesystem::path folder = std::filesystem::path(options.output_) / ("seed-" + std::to_string(schedule.seed_));
    // Only a folder of an earlier run is replaced.
    if (std::filesystem::exists(folder / "schedule.json"))
        std::filesystem::remove_all(folder);
    const SoakOutcome outcome = play(options, schedule, folder);
    std::printf("%s\n", outcome.toJson().dump().c_str());
    std::fflush(stdout);
    if (outcome.violations_.empty())
        return true;
    if (options.shrinks_ != 0)
        shrink(options, schedule, ruleOf(outcome.violations_.front()), folder);
    return false;
}

SoakSchedule readSchedule(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::invalid_argument("can't open " + path);
    const auto schedule = parseSchedule(std::string(std::istreambuf_iterator<char>(file), {}));
    if (!schedule)
        throw std::invalid_argument(path + ": " + describe(schedule.error()));
    return *schedule;
}

bool run(const Options& options)
{
    if (options.replay_)
        return playAndReport(options, readSchedule(options.replay_));
    bool isKept = true;
    for (int index = 0; index < options.count_; ++index) {
        const auto seed = static_cast<std::uint32_t>(options.seed_ + index);
        const SoakSchedule schedule = drawSchedule(seed, { options.instances_, options.workers_, std::chrono::seconds(options.seconds_) });
        isKept = playAndReport(options, schedule) && isKept;
    }
    return isKept;
}

}

/** Plays randomized faults against instances on loopback and checks the promises to callers. */
int main(int argc, const char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(parse(argc, argv)) ? EXIT_SUCCESS : exitViolations;
    } catch (const std::invalid_argument& error) {
        std::fprintf(stderr, "fescuecleat-soak: %s; see --help\n", error.what());
        return exitUsageError;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "fescuecleat-soak: %s\n", error.what());
        return exitUnavailable;
    }
}
