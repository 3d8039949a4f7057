#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::gateway {

/**
 * Cuts a stream of server-sent events after whole events, without changing a byte, and follows
 * their ids, so that a stream that breaks off can go on after the last event that was passed on.
 * Not thread-safe.
 */
class event_splitter
{
public:
    /** Largest event; a longer one fails the stream. */
    static constexpr std::size_t maxEventBytes = 1'048'576;

    /** Appends bytes as they arrive; false if an event is too large. */
    bool feed(std::string_view bytes);

    /** Whole events that have not been taken; the view is valid until the next call. */
    std::string_view completeEvents() const noexcept
    {
        return std::string_view(m_buffer).substr(0, m_completeBytes);
    }

    /** Id of the first event in completeEvents(); nothing if it has none. */
    std::optional<std::string> firstId() const;

    /** Drops completeEvents() and remembers its last id. */
    void consumeEvents();

    /** The bytes behind the last whole event. */
    std::string_view incompleteEvent() const noexcept
    {
        return std::string_view(m_buffer).substr(m_completeBytes);
    }

    /** Drops an event that broke off. */
    void discardIncompleteEvent();

    /** Id of the last event that was taken; nothing if none had one. */
    const std::optional<std::string> &lastId() const noexcept { return m_lastId; }

    /** Whole events that were taken. */
    std::uint64_t eventCount() const noexcept { return m_eventCount; }

private:
    std::string m_buffer;
    std::size_t m_completeBytes = 0;
    std::size_t m_searchOffset = 0;
    std::optional<std::string> m_lastId;
    std::uint64_t m_eventCount = 0;
};

} // namespace comfreypass::gateway
