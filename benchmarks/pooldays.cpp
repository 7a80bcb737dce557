#include "pool/poolday.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <popt.h>

// Plays heavy days of three deployments under the pool scheduler in virtual time and
// prints what callers got and what work was thrown away. Networks are not modelled.

namespace {

using namespace fescuecleat;

void play(const DayDeployment& deployment, int seeds)
{
    std::map<std::string, double> lost;
    std::vector<DayKindResult> kinds(deployment.kinds_.size());
    double share = 0;
    double lostShare = 0;
    double usage = 0;
    int late = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int seed = 1; seed <= seeds; ++seed) {
        const DayResult result = PoolDay(deployment, heavyDay(static_cast<unsigned>(seed)), static_cast<unsigned>(seed)).run(std::chrono::seconds(41), std::chrono::seconds(14));
        share += result.share() / seeds;
        lostShare += result.lostWork() / (result.completedWork_ + result.lostWork()) / seeds;
        usage += result.meanUsage_ / seeds;
        late += result.lateGuarantees_;
        for (const auto& [cause, work] : result.lostByCause_)
            lost[cause] += work / seeds;
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            kinds[i].jobs_ += result.kinds_[i].jobs_;
            kinds[i].inTime_ += result.kinds_[i].inTime_;
            kinds[i].late_ += result.kinds_[i].late_;
            kinds[i].failed_ += result.kinds_[i].failed_;
            kinds[i].earned_ += result.kinds_[i].earned_;
            kinds[i].owed_ += result.kinds_[i].owed_;
        }
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    std::printf("%s: earned %.3f of the value, %.3f of the work thrown away, usage %.2f, late guarantees %d, %.1f s to play\n", deployment.name_.c_str(), share, lostShare, usage, late, took.count());
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        const DayKindResult& kind = kinds[i];
        std::printf("  %-8s jobs %6d in time %.3f late %.3f failed %.3f earned %.3f\n", deployment.kinds_[i].name_.c_str(), kind.jobs_, static_cast<double>(kind.inTime_) / kind.jobs_, static_cast<double>(kind.late_) / kind.jobs_, static_cast<double>(kind.failed_) / kind.jobs_, kind.earned_ / kind.owed_);
    }
    for (const auto& [cause, work] : lost)
        std::printf("  thrown away, core-seconds a day: %9.0f %s\n", work, cause.c_str());
    std::fflush(stdout);
}

}

int main(int argc, const char** argv)
{
    int seeds = 4;
    char* only = nullptr;
    const poptOption options[] = {
        { "seeds", 's', POPT_ARG_INT, &seeds, 0, "days to play for each deployment", "N" },
        { "deployment", 'd', POPT_ARG_STRING, &only, 0, "small, grown or large; otherwise all", "NAME" },
        POPT_AUTOHELP POPT_TABLEEND
    };
    const poptContext context = poptGetContext("pooldays", argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    poptFreeContext(context);
    if (parsed < -1) {
        std::fprintf(stderr, "pooldays: %s\n", poptStrerror(parsed));
        return 64;
    }
    for (const DayDeployment& deployment : { smallDeployment(), grownDeployment(), largeDeployment() }) {
        if (only == nullptr || deployment.name_ == only)
            play(deployment, seeds);
    }
    std::free(only);
    return 0;
}
