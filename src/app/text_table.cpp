#include "app/text_table.h"

#include "core/invariant.h"

#include <algorithm>
#include <cstddef>
#include <ostream>
#include <utility>

namespace comfreypass::app {

namespace {

/**
 * Returns the number of terminal columns of a text. Colour sequences and UTF-8 continuation bytes
 * have no width.
 */
std::size_t displayWidth(const std::string &text)
{
    std::size_t width = 0;
    bool isInColourSequence = false;
    for (const char character : text) {
        if (character == '\x1b')
            isInColourSequence = true;
        const bool isContinuationByte = (static_cast<unsigned char>(character) & 0xC0U) == 0x80U;
        if (!isInColourSequence && !isContinuationByte)
            ++width;
        if (isInColourSequence && character == 'm')
            isInColourSequence = false;
    }
    return width;
}

} // namespace

text_table::text_table(std::vector<std::string> header)
{
    m_rows.push_back(std::move(header));
}

void text_table::addRow(std::vector<std::string> cells)
{
    COMFREYPASS_INVARIANT(cells.size() == m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

void text_table::write(std::ostream &out) const
{
    if (isEmpty())
        return;
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], displayWidth(row[i]));
    }
    constexpr std::size_t columnGap = 2;
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i + 1 < row.size(); ++i)
            out << row[i] << std::string(widths[i] - displayWidth(row[i]) + columnGap, ' ');
        out << row.back() << '\n';
    }
}

} // namespace comfreypass::app
