#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace comfreypass::app {

/** Rows of text in aligned columns. */
class text_table
{
public:
    explicit text_table(std::vector<std::string> header);

    /** Precondition: as many cells as the header has. */
    void addRow(std::vector<std::string> cells);

    bool isEmpty() const noexcept { return m_rows.size() == 1; }

    /** Writes the header and the rows; nothing if there is no row. */
    void write(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace comfreypass::app
