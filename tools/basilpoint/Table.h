#pragma once

#include <string>
#include <vector>

namespace basilpoint {

/// Text table with aligned columns.
class Table {
public:
    explicit Table(std::vector<std::string> header);

    /// \param row one cell for each column of the header.
    void add(std::vector<std::string> row);

    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace basilpoint
