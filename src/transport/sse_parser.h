#pragma once

#include "transport/token_usage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::transport {

/**
 * Incremental parser for a stream of server-sent events, received in arbitrary fragments. Also
 * evaluates the events of a chat completion. Not thread-safe.
 */
class sse_parser
{
public:
    static constexpr std::size_t defaultEventBytes = 65'536;

    /** Called with the joined data lines of each event; the view is valid during the call. */
    using event_function = std::function<void(std::string_view data)>;

    /** `onEvent` may be empty. */
    explicit sse_parser(std::size_t maxEventBytes = defaultEventBytes, event_function onEvent = {});

    /** Parses the next bytes. Returns false and ignores them once an event exceeded the limit. */
    bool feed(std::string_view bytes);

    /** Returns the number of events so far whose first choice has a non-empty content delta. */
    std::uint64_t tokens() const noexcept { return m_tokens; }

    /** Returns true after the event `[DONE]`. */
    bool done() const noexcept { return m_done; }

    /** Returns the latest `usage` object that is not null. */
    const std::optional<token_usage> &usage() const noexcept { return m_usage; }

private:
    void endLine();
    void endEvent();
    void readChatEvent(std::string_view data);

    std::size_t m_maxEventBytes;
    event_function m_onEvent;
    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    bool m_skipLineFeed = false;
    bool m_overflow = false;
    bool m_done = false;
    std::uint64_t m_tokens = 0;
    std::optional<token_usage> m_usage;
};

} // namespace comfreypass::transport
