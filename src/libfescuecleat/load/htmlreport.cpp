#include "load/htmlreport.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace fescuecleat {

namespace {

    constexpr double plotWidth = 720;
    constexpr double plotHeight = 220;
    constexpr double margin = 46;
    constexpr std::array<const char*, 5> colours { "#1f6f8b", "#b5552b", "#5b7f2b", "#7a4b94", "#8a6d1f" };

    std::string escaped(const std::string& text)
    {
        std::string result;
        for (const char c : text) {
            if (c == '<')
                result += "&lt;";
            else if (c == '>')
                result += "&gt;";
            else if (c == '&')
                result += "&amp;";
            else
                result += c;
        }
        return result;
    }

    /** Maximum x and y values over all repeats. */
    std::pair<double, double> maxima(const std::vector<Series>& lines)
    {
        double x = 1;
        double y = 1e-9;
        for (const Series& line : lines) {
            for (const auto& [second, value] : line) {
                x = std::max(x, second);
                y = std::max(y, value);
            }
        }
        return { x, y };
    }

    void writeLine(std::ostream& out, const Series& line, double maxX, double maxY, const char* colour)
    {
        out << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"1.5\" points=\"";
        for (const auto& [second, value] : line)
            out << margin + second / maxX * (plotWidth - 2 * margin) << ',' << plotHeight - margin - value / maxY * (plotHeight - 2 * margin) << ' ';
        out << "\"/>";
    }

    void writePlot(std::ostream& out, const std::string& name, const std::vector<Series>& lines)
    {
        const auto [maxX, maxY] = maxima(lines);
        const double bottom = plotHeight - margin;
        out << "<h3>" << escaped(name) << "</h3><svg width=\"" << plotWidth << "\" height=\"" << plotHeight << "\">"
            << "<path d=\"M" << margin << ' ' << margin << " V" << bottom << " H" << plotWidth - margin << "\" fill=\"none\" stroke=\"#888\"/>"
            << "<text x=\"4\" y=\"" << margin << "\">" << maxY << "</text><text x=\"4\" y=\"" << bottom << "\">0</text>"
            << "<text x=\"" << plotWidth - 2 * margin << "\" y=\"" << plotHeight - margin / 2 << "\">" << maxX << " s</text>";
        for (std::size_t i = 0; i < lines.size(); ++i)
            writeLine(out, lines[i], maxX, maxY, colours[i % colours.size()]);
        out << "</svg>\n";
    }

    void writeMeasures(std::ostream& out, const ExperimentResult& result)
    {
        out << "<h2>Measures</h2><table><tr><th>measure</th><th>mean</th><th>least</th><th>most</th></tr>\n";
        for (const auto& [name, summary] : summarise(result))
            out << "<tr><td>" << escaped(name) << "</td><td>" << summary.mean_ << "</td><td>" << summary.min_ << "</td><td>" << summary.max_ << "</td></tr>\n";
        out << "</table>\n";
    }

    void writePercentiles(std::ostream& out, const ExperimentResult& result)
    {
        // All quantiles share one linear scale, so that long tails stand out.
        const std::map<std::string, MeasureSummary> summaries = summarise(result);
        double maxSeconds = 1e-9;
        const auto isQuantile = [](const std::string& name) { return name.find("_completion") != std::string::npos; };
        for (const auto& [name, summary] : summaries) {
            if (isQuantile(name))
                maxSeconds = std::max(maxSeconds, summary.max_);
        }
        out << "<h2>Completion times</h2><table>\n";
        for (const auto& [name, summary] : summaries) {
            if (isQuantile(name))
                out << "<tr><td>" << escaped(name) << "</td><td><svg width=\"420\" height=\"14\"><rect height=\"12\" fill=\"" << colours[0] << "\" width=\"" << summary.mean_ / maxSeconds * 400 << "\"/></svg></td><td>" << summary.mean_ << "</td></tr>\n";
        }
        out << "</table>\n";
    }

    void writeViolations(std::ostream& out, const ExperimentResult& result)
    {
        out << "<h2>Audit</h2>\n";
        std::size_t count = 0;
        for (const RepeatResult& repeat : result.repeats_) {
            for (const Violation& violation : repeat.violations_) {
                ++count;
                out << "<p><b>" << violationKindName(violation.kind_) << "</b> " << escaped(violation.item_) << ": " << escaped(violation.description_) << "</p><pre>";
                for (const std::string& line : violation.trace_)
                    out << escaped(line) << "\n";
                out << "</pre>\n";
            }
        }
        if (!count)
            out << "<p>No violations in " << result.repeats_.size() << " repeats.</p>\n";
    }

    std::map<std::string, std::vector<Series>> seriesByName(const ExperimentResult& result)
    {
        std::map<std::string, std::vector<Series>> all;
        for (const RepeatResult& repeat : result.repeats_) {
            for (const auto& [name, series] : repeat.measures_.series_)
                all[name].push_back(series);
        }
        return all;
    }

}

std::string htmlReport(const ExperimentResult& result)
{
    std::ostringstream out;
    const std::string title = escaped(result.experiment_ + " at " + result.deployment_);
    out << "<!doctype html><html><head><meta charset=\"utf-8\"><title>" << title << "</title>\n"
        << "<style>body{font:14px sans-serif;max-width:60em;margin:2em auto}td,th{padding:2px 10px;text-align:left}svg text{font:11px sans-serif}pre{background:#f4f4f4;padding:6px}</style></head><body>\n"
        << "<h1>" << title << "</h1><p>Repeats, one line each in the plots, by seed:";
    for (const RepeatResult& repeat : result.repeats_)
        out << ' ' << repeat.seed_;
    out << "</p>\n";
    writeViolations(out, result);
    writePercentiles(out, result);
    out << "<h2>Over time</h2>\n";
    for (const auto& [name, lines] : seriesByName(result))
        writePlot(out, name, lines);
    writeMeasures(out, result);
    out << "</body></html>\n";
    return out.str();
}

}
