#include "Table.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace basilpoint {

Table::Table(std::vector<std::string> header)
    : m_rows { std::move(header) }
{
}

void Table::add(std::vector<std::string> row)
{
    assert(row.size() == m_rows.front().size() && "one cell for each column");
    m_rows.push_back(std::move(row));
}

std::string Table::text() const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto& row : m_rows) {
        for (std::size_t n = 0; n < row.size(); ++n)
            widths[n] = std::max(widths[n], row[n].size());
    }
    std::string text;
    for (const auto& row : m_rows) {
        std::string line;
        for (std::size_t n = 0; n < row.size(); ++n)
            line += fmt::format("{:<{}}  ", row[n], widths[n]);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace basilpoint
