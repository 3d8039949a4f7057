#include "gateway/event_splitter.h"

#include "core/parse_unsigned.h"

namespace comfreypass::gateway {

namespace {

/** Returns the end of the first event that ends after `from`; npos if there is none. */
std::size_t eventEnd(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        std::size_t next = at + 1;
        if (next < text.size() && text[next] == '\r')
            ++next;
        if (next < text.size() && text[next] == '\n')
            return next + 1;
    }
    return std::string_view::npos;
}

/** Calls the function for each line of a text, without the line break. */
template<class Function>
void forEachLine(std::string_view text, Function &&each)
{
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        each(line);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
}

std::optional<std::string> idOfLine(std::string_view line)
{
    if (!line.starts_with("id:"))
        return std::nullopt;
    line.remove_prefix(3);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return std::string(line);
}

} // namespace

bool event_splitter::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::size_t searchFrom = m_searchOffset;
    for (;;) {
        const std::size_t end = eventEnd(m_buffer, searchFrom);
        if (end == std::string_view::npos)
            break;
        m_completeBytes = end;
        searchFrom = end;
        ++m_eventCount;
    }
    // The last two bytes may be the start of an event separator, so they are searched again.
    constexpr std::size_t endBytes = 2;
    m_searchOffset = m_buffer.size() > m_completeBytes + endBytes ? m_buffer.size() - endBytes
                                                                  : m_completeBytes;
    return m_buffer.size() - m_completeBytes <= maxEventBytes;
}

std::optional<std::string> event_splitter::firstId() const
{
    std::optional<std::string> first;
    const std::size_t end = eventEnd(completeEvents(), 0);
    if (end != std::string_view::npos) {
        forEachLine(completeEvents().substr(0, end), [&first](std::string_view line) {
            if (const auto id = idOfLine(line))
                first = id;
        });
    }
    return first;
}

bool event_splitter::idsIncrease() const
{
    auto last = m_lastId ? core::parseUnsigned(*m_lastId) : std::nullopt;
    bool increase = true;
    forEachLine(completeEvents(), [&](std::string_view line) {
        const auto id = idOfLine(line);
        const auto number = id ? core::parseUnsigned(*id) : std::nullopt;
        if (!number)
            return;
        increase = increase && (!last || *number > *last);
        last = number;
    });
    return increase;
}

void event_splitter::consumeEvents()
{
    forEachLine(completeEvents(), [this](std::string_view line) {
        if (auto id = idOfLine(line))
            m_lastId = std::move(id);
    });
    m_buffer.erase(0, m_completeBytes);
    m_searchOffset -= m_completeBytes;
    m_completeBytes = 0;
}

void event_splitter::discardIncompleteEvent()
{
    m_buffer.resize(m_completeBytes);
    m_searchOffset = m_completeBytes;
}

void event_splitter::discardEvents()
{
    m_buffer.clear();
    m_completeBytes = 0;
    m_searchOffset = 0;
}

} // namespace comfreypass::gateway
