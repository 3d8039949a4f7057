#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::gateway {

/**
 * Splits a stream of server-sent events at event boundaries, without changing any byte, and tracks
 * the event ids, so that an interrupted stream can resume after the last forwarded event.
 * Not thread-safe.
 */
class event_splitter
{
public:
    /** Maximum size of an event; a longer one fails the stream. */
    static constexpr std::size_t maxEventBytes = 1'048'576;

    /** Appends received bytes; returns false if an event is too large. */
    bool feed(std::string_view bytes);

    /** Returns the complete events not consumed yet; the view is valid until the next call. */
    std::string_view completeEvents() const noexcept
    {
        return std::string_view(m_buffer).substr(0, m_completeBytes);
    }

    /** Returns the id of the first event in completeEvents(), if it has one. */
    std::optional<std::string> firstId() const;

    /** Returns false if completeEvents() have an id that is not above the one before it. */
    bool idsIncrease() const;

    /** Removes completeEvents() and records their last id. */
    void consumeEvents();

    /** Returns the bytes after the last complete event. */
    std::string_view incompleteEvent() const noexcept
    {
        return std::string_view(m_buffer).substr(m_completeBytes);
    }

    /** Discards an incomplete event. */
    void discardIncompleteEvent();

    /** Discards completeEvents() without recording them, and an incomplete event. */
    void discardEvents();

    /** Returns the last id among the consumed events, if any had one. */
    const std::optional<std::string> &lastId() const noexcept { return m_lastId; }

    /** Returns the number of complete events received. */
    std::uint64_t eventCount() const noexcept { return m_eventCount; }

private:
    std::string m_buffer;
    std::size_t m_completeBytes = 0;
    std::size_t m_searchOffset = 0;
    std::optional<std::string> m_lastId;
    std::uint64_t m_eventCount = 0;
};

} // namespace comfreypass::gateway
