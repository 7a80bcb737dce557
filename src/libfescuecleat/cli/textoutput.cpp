#include "cli/textoutput.h"

#include <algorithm>
#include <cstddef>

namespace fescuecleat {

namespace {

    bool isObject(const JsonValue& value) { return value.category() == JsonValue::Object; }
    bool isArray(const JsonValue& value) { return value.category() == JsonValue::Array; }

    bool isTable(const JsonValue& value)
    {
        return isArray(value) && value.memberCount() > 0 && std::all_of(value.begin(), value.end(), isObject);
    }

    std::string scalarText(const JsonValue& value)
    {
        if (isObject(value) || isArray(value)) {
            JsonValue copy = value;
            copy.setName({});
            return writeJson(copy);
        }
        if (value.isNull())
            return "-";
        std::string text;
        value.getValue(text);
        return text;
    }

    std::string formatRows(const JsonValue& array)
    {
        std::vector<std::string> headings;
        for (const JsonValue& row : array) {
            for (const JsonValue& cell : row) {
                if (std::find(headings.begin(), headings.end(), cell.name()) == headings.end())
                    headings.push_back(cell.name());
            }
        }
        std::vector<std::vector<std::string>> rows;
        for (const JsonValue& row : array) {
            std::vector<std::string> cells;
            for (const std::string& heading : headings) {
                const JsonValue* cell = row.findMember(heading);
                cells.push_back(cell ? scalarText(*cell) : "");
            }
            rows.push_back(std::move(cells));
        }
        return formatTable(headings, rows);
    }

    std::string paddedLine(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths)
    {
        std::string line;
        for (std::size_t column = 0; column < cells.size(); ++column) {
            line += cells[column];
            if (column + 1 < cells.size())
                line.append(widths[column] - cells[column].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        return line + "\n";
    }

}

std::string formatTable(const std::vector<std::string>& headings, const std::vector<std::vector<std::string>>& rows)
{
    if (rows.empty())
        return "none\n";
    std::vector<std::size_t> widths;
    widths.reserve(headings.size());
    for (const std::string& heading : headings)
        widths.push_back(heading.size());
    for (const auto& row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text = paddedLine(headings, widths);
    for (const auto& row : rows)
        text += paddedLine(row, widths);
    return text;
}

std::string formatAnswer(const JsonValue& value)
{
    if (isTable(value))
        return formatRows(value);
    if (!isObject(value))
        return scalarText(value) + "\n";
    std::string text;
    for (const JsonValue& member : value) {
        if (isTable(member))
            text += (value.memberCount() > 1 ? member.name() + ":\n" : "") + formatRows(member);
        else if (isArray(member) && member.memberCount() == 0)
            text += member.name() + ": none\n";
        else
            text += member.name() + ": " + scalarText(member) + "\n";
    }
    return text;
}

}
