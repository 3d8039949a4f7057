#pragma once

#include "core/result.h"
#include "http1/message_head.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace comfreypass::http1 {

enum class message_kind : std::uint8_t { Request, Response };

/**
 * Incremental parser of one HTTP/1.1 message (Boost.Beast) that hands out body bytes without
 * copying them. Not thread-safe.
 */
class message_parser
{
public:
    /** Receives a part of the decoded body; the view is valid during the call. */
    using body_function = std::function<void(std::string_view bytes)>;

    /** `headerBytes` bounds the start line and the header fields together. */
    message_parser(message_kind kind, std::size_t headerBytes, body_function onBody);
    ~message_parser();
    message_parser(const message_parser &) = delete;
    message_parser &operator=(const message_parser &) = delete;

    /**
     * Reads from the front of `bytes` and returns how many were used up; the caller presents the
     * rest again, with more behind it. Reads nothing beyond the end of the message.
     * Errors: ParseFailed; TooLarge for a header over the bound.
     * Precondition: no earlier call failed.
     */
    core::result<std::size_t> parse(std::string_view bytes);

    /**
     * Tells that the connection has ended. Completes a message whose end is the end of the
     * connection. Error: ParseFailed if the message is incomplete.
     */
    core::result<void> finishAtEof();

    /** True once the header is complete. */
    bool hasHead() const noexcept;

    /** True once the whole message is read. */
    bool complete() const noexcept;

    /** True once a byte of the message was read. */
    bool started() const noexcept;

    /** Precondition: hasHead(). Valid as long as the parser. */
    const message_head &head() const noexcept;

private:
    class implementation;
    template<bool isRequest>
    class beast_implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace comfreypass::http1
