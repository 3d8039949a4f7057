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
 * Splits a stream of server-sent events as it arrives, in any fragments, and follows the events of
 * a chat completion. Not thread-safe.
 */
class sse_parser
{
public:
    static constexpr std::size_t defaultEventBytes = 65'536;

    /** Receives the joined data lines of each event; the view is valid during the call. */
    using event_function = std::function<void(std::string_view data)>;

    /** `onEvent` may be empty. */
    explicit sse_parser(std::size_t maxEventBytes = defaultEventBytes, event_function onEvent = {});

    /** Takes the next bytes. False once an event exceeded the bound; later bytes are ignored. */
    bool feed(std::string_view bytes);

    /** Events so far whose first choice has a non-empty content delta. */
    std::uint64_t tokens() const noexcept { return m_tokens; }

    /** True after the event `[DONE]`. */
    bool done() const noexcept { return m_done; }

    /** The latest `usage` object that is not null. */
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
