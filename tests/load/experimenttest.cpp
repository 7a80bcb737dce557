#include "load/experiment.h"
#include "load/arrivalplan.h"
#include "load/comparison.h"
#include "load/htmlreport.h"
#include "load/mix.h"
#include "json/json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

using namespace fescuecleat;

/** Tests parsing and planning of experiments, and comparison and reports of results. */
class ExperimentTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ExperimentTest);
    CPPUNIT_TEST(readsEveryShippedExperiment);
    CPPUNIT_TEST(reportsEveryError);
    CPPUNIT_TEST(sameSeedGivesSameArrivals);
    CPPUNIT_TEST(burstsRaiseTheRate);
    CPPUNIT_TEST(resultsSurviveJsonRoundTrip);
    CPPUNIT_TEST(ignoresChangesWithinSpread);
    CPPUNIT_TEST(reportIsSelfContained);
    CPPUNIT_TEST_SUITE_END();

    static JsonValue readFile(const std::filesystem::path& path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        const Result<JsonValue> value = parseJson(text.str(), path.string());
        CPPUNIT_ASSERT_MESSAGE(path.string(), value);
        return *value;
    }

    static std::filesystem::path folder() { return std::filesystem::path(std::getenv("FESCUECLEAT_SOURCE")) / "examples/experiments"; }

    static Experiment experiment(const std::string& more = "")
    {
        return *parseExperiment(*parseJson(R"({"name": "x", "duration_ms": 60000, "drain_ms": 0)" + more + "}"));
    }

    static Mix mix()
    {
        return *parseMix(*parseJson(R"({"deployment": "d", "requests": [{"kind": "k", "per_second": 50, "work_ms": 5, "spread": 0.5, "deadline_ms": 100}],
            "jobs": [{"name": "n", "per_second": 5, "run_ms": 100, "declared_spread": 1}]})"));
    }

    static ExperimentResult result(std::initializer_list<double> values)
    {
        ExperimentResult result { "e", "d", {} };
        for (const double value : values) {
            RepeatMeasures measures;
            measures.values_["job_completion_p50_seconds"] = value;
            measures.values_["jobs_finished"] = value;
            measures.series_["fragmentation <share>"] = { { 1, value }, { 2, 0 } };
            result.repeats_.push_back({ 7, measures, {} });
        }
        return result;
    }

    void readsEveryShippedExperiment()
    {
        int read = 0;
        for (const auto& file : std::filesystem::directory_iterator(folder())) {
            if (file.path().extension() != ".json")
                continue;
            CPPUNIT_ASSERT_MESSAGE(file.path().string(), parseExperiment(readFile(file.path())));
            ++read;
        }
        CPPUNIT_ASSERT(read >= 9);
        for (const char* const name : { "mixes/pietralogica.json", "mixes/coralbine.json" })
            CPPUNIT_ASSERT_MESSAGE(name, parseMix(readFile(folder() / name)));
    }

    void reportsEveryError()
    {
        const auto refused = parseExperiment(*parseJson(R"({"name": "x", "duration_ms": -1, "drain_ms": 0, "extra": 1, "steps": [{"at_ms": 1, "do": "nothing"}]})"));
        CPPUNIT_ASSERT(!refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, refused.error().size());
        CPPUNIT_ASSERT_EQUAL(std::string("steps[0].do"), refused.error()[1].location_);
        CPPUNIT_ASSERT(!parseMix(*parseJson(R"({"deployment": "d", "jobs": [{"name": "n", "per_second": 1, "run_ms": 1, "tasks": 129}]})")));
    }

    void sameSeedGivesSameArrivals()
    {
        const auto serialise = [](const ArrivalPlan& plan) {
            std::ostringstream out;
            for (const PlannedRequest& request : plan.requests_)
                out << request.at_.count() << request.organisation_ << request.body_;
            for (const PlannedJob& job : plan.jobs_)
                out << job.at_.count() << job.organisation_ << job.spec_.declaredRunTime_.count() << job.spec_.payload_;
            return out.str();
        };
        CPPUNIT_ASSERT_EQUAL(serialise(planArrivals(experiment(), mix(), 4, 9, "p")), serialise(planArrivals(experiment(), mix(), 4, 9, "p")));
        CPPUNIT_ASSERT(serialise(planArrivals(experiment(), mix(), 4, 9, "p")) != serialise(planArrivals(experiment(), mix(), 4, 10, "p")));
    }

    void burstsRaiseTheRate()
    {
        const ArrivalPlan plan = planArrivals(experiment(R"(, "bursts": [{"at_ms": 20000, "for_ms": 20000, "factor": 4, "jobs": false}])"), mix(), 1, 1, "p");
        int inside = 0;
        for (const PlannedRequest& request : plan.requests_)
            inside += request.at_ >= std::chrono::seconds(20) && request.at_ < std::chrono::seconds(40);
        const int outside = static_cast<int>(plan.requests_.size()) - inside;
        CPPUNIT_ASSERT(inside > 3500 && inside < 4500);
        CPPUNIT_ASSERT(outside > 1700 && outside < 2300);
        CPPUNIT_ASSERT(plan.jobs_.size() > 200 && plan.jobs_.size() < 400);
    }

    void resultsSurviveJsonRoundTrip()
    {
        ExperimentResult before = result({ 1.25, 2 });
        before.repeats_[1].violations_.push_back({ ViolationKind::RequestCut, "t1", "why", { "line" } });
        const auto after = parseResult(*parseJson(writeJson(toJson(before))));
        CPPUNIT_ASSERT(after);
        CPPUNIT_ASSERT(after->repeats_[1].measures_.values_ == before.repeats_[1].measures_.values_);
        CPPUNIT_ASSERT(after->repeats_[0].measures_.series_ == before.repeats_[0].measures_.series_);
        CPPUNIT_ASSERT(after->repeats_[1].violations_.at(0).kind_ == ViolationKind::RequestCut);
        CPPUNIT_ASSERT_EQUAL(std::string("line"), after->repeats_[1].violations_[0].trace_.at(0));
    }

    void ignoresChangesWithinSpread()
    {
        const auto verdicts = [](const ExperimentResult& before, const ExperimentResult& after) {
            const std::vector<MeasureComparison> found = compare(before, after);
            return std::string(verdictName(found.at(0).verdict_)) + ", " + verdictName(found.at(1).verdict_);
        };
        CPPUNIT_ASSERT_EQUAL(std::string("worse, better"), verdicts(result({ 1, 2 }), result({ 3, 4 })));
        CPPUNIT_ASSERT_EQUAL(std::string("better, worse"), verdicts(result({ 3, 4 }), result({ 1, 2 })));
        CPPUNIT_ASSERT_EQUAL(std::string("within spread, within spread"), verdicts(result({ 1, 3 }), result({ 2, 4 })));
        CPPUNIT_ASSERT_EQUAL(std::string("within spread, within spread"), verdicts(result({ 1 }), result({ 9 })));
    }

    void reportIsSelfContained()
    {
        const std::string page = htmlReport(result({ 1, 2 }));
        CPPUNIT_ASSERT(page.find("polyline") != std::string::npos);
        CPPUNIT_ASSERT(page.find("fragmentation &lt;share&gt;") != std::string::npos);
        for (const char* const outside : { "http:", "https:", "src=", "<link" })
            CPPUNIT_ASSERT(page.find(outside) == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExperimentTest);
