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
    static constexpr std::size_t mostEventBytes = 1'048'576;

    /** Appends bytes as they arrive; false if an event is too large. */
    bool feed(std::string_view bytes);

    /** Whole events that have not been taken; the view is valid until the next call. */
    std::string_view whole() const noexcept
    {
        return std::string_view(m_buffer).substr(0, m_wholeBytes);
    }

    /** Id of the first event in whole(); nothing if it has none. */
    std::optional<std::string> firstId() const;

    /** Drops whole() and remembers its last id. */
    void takeWhole();

    /** The bytes behind the last whole event. */
    std::string_view rest() const noexcept
    {
        return std::string_view(m_buffer).substr(m_wholeBytes);
    }

    /** Drops an event that broke off. */
    void dropRest();

    /** Id of the last event that was taken; nothing if none had one. */
    const std::optional<std::string> &lastId() const noexcept { return m_lastId; }

    /** Whole events that were taken. */
    std::uint64_t events() const noexcept { return m_events; }

private:
    std::string m_buffer;
    std::size_t m_wholeBytes = 0;
    std::size_t m_searched = 0;
    std::optional<std::string> m_lastId;
    std::uint64_t m_events = 0;
};

} // namespace comfreypass::gateway
