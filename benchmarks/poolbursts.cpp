#include "pool/poolday.h"

#include <cstdio>
#include <popt.h>

// Plays bursts of load on a busy pool under the pool scheduler in virtual time, and prints the
// work that is thrown away and the jobs that are in time, with and without StopCosts.

namespace {

using namespace fescuecleat;
using std::chrono::milliseconds;

struct Site {
    const char* name_;
    Duration stop_;
    Duration restore_;
    int workersPerRack_;
    Duration guaranteeLimit_;
};

void play(const Site& site, int workers, double load, double strength, int seeds, bool isInformed)
{
    DayDeployment deployment = grownDeployment();
    for (DayJobKind& kind : deployment.kinds_)
        kind.jobsPerSecond_ *= load * workers / deployment.workers_;
    deployment.workers_ = workers;
    deployment.workersPerRack_ = site.workersPerRack_;
    deployment.stop_ = site.stop_;
    deployment.restore_ = site.restore_;
    deployment.guaranteeLimit_ = site.guaranteeLimit_;
    if (isInformed)
        deployment.stopCosts_ = StopCosts { site.stop_, site.restore_, std::chrono::seconds(2), std::chrono::seconds(4) };
    std::vector<DayKindResult> kinds(deployment.kinds_.size());
    double share = 0;
    double lost = 0;
    double completed = 0;
    double usage = 0;
    int stops = 0;
    int late = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        const DayTrouble burst { DayTroubleKind::Burst, std::chrono::seconds(10), std::chrono::seconds(6), 0, strength, -1, 0 };
        const DayResult result = PoolDay(deployment, { burst }, static_cast<unsigned>(seed)).run(std::chrono::seconds(26), std::chrono::seconds(14));
        share += result.share() / seeds;
        lost += result.lostWork() / seeds;
        completed += result.completedWork_ / seeds;
        usage += result.meanUsage_ / seeds;
        stops += result.stops_;
        late += result.lateGuarantees_;
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            kinds[i].jobs_ += result.kinds_[i].jobs_;
            kinds[i].inTime_ += result.kinds_[i].inTime_;
        }
    }
    std::printf("%s load %.2f burst %.1f usage %.2f %s: earned %.4f, lost %7.0f core-seconds a day (%.3f), stops %5d, late guarantees %d, in time", site.name_, load, strength, usage, isInformed ? "with   " : "without", share, lost, lost / (lost + completed), stops / seeds, late);
    for (std::size_t i = 0; i < kinds.size(); ++i)
        std::printf(" %s %.3f", deployment.kinds_[i].name_.c_str(), static_cast<double>(kinds[i].inTime_) / kinds[i].jobs_);
    std::printf("\n");
    std::fflush(stdout);
}

}

int main(int argc, const char** argv)
{
    int seeds = 4;
    int workers = 350;
    const poptOption options[] = {
        { "seeds", 's', POPT_ARG_INT, &seeds, 0, "days to play for each load", "N" },
        { "workers", 'w', POPT_ARG_INT, &workers, 0, "workers of the pool", "N" },
        POPT_AUTOHELP POPT_TABLEEND
    };
    const poptContext context = poptGetContext("poolbursts", argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    poptFreeContext(context);
    if (parsed < -1) {
        std::fprintf(stderr, "poolbursts: %s\n", poptStrerror(parsed));
        return 64;
    }
    const Site sites[] = {
        { "stop 0.9 s, restore 0.6 s", milliseconds(900), milliseconds(600), 8, milliseconds(3400) },
        { "stop 0.2 s, restore 0.25 s", milliseconds(200), milliseconds(250), 20, milliseconds(2700) },
    };
    for (const Site& site : sites) {
        for (const double load : { 0.7, 1.0 }) {
            for (const double strength : { 2.1, 2.6 }) {
                play(site, workers, load, strength, seeds, false);
                play(site, workers, load, strength, seeds, true);
            }
        }
    }
    return 0;
}
