#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace comfreypass::app {

/** Table of text with aligned columns. */
class text_table
{
public:
    explicit text_table(std::vector<std::string> header);

    /** Appends a row. Precondition: it has as many cells as the header. */
    void addRow(std::vector<std::string> cells);

    bool isEmpty() const noexcept { return m_rows.size() == 1; }

    /** Writes the header and the rows, or nothing if there are no rows. */
    void write(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace comfreypass::app
