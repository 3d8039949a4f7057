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
 * Incremental parser for a single HTTP/1.1 message, based on Boost.Beast. Delivers body bytes
 * without copying them. Not thread-safe.
 */
class message_parser
{
public:
    /** Receives a piece of the decoded body; the view is valid during the call. */
    using body_function = std::function<void(std::string_view bytes)>;

    /** `headerBytes` limits the total size of the header fields, and the size of the start line. */
    message_parser(message_kind kind, std::size_t headerBytes, body_function onBody);
    ~message_parser();
    message_parser(const message_parser &) = delete;
    message_parser &operator=(const message_parser &) = delete;

    /**
     * Lets the message end with its header, as a response to HEAD does. Precondition: !started().
     */
    void skipBody();

    /**
     * Parses from the front of `bytes`, at a cost that grows with the bytes that are new, and
     * returns the number of bytes consumed. The caller passes the rest again, followed by more
     * input. Consumes nothing beyond the end of the message. Errors: ParseFailed, also if the
     * header does not determine the end of the message for each recipient alike (see
     * transport::framingFault) or its status is not one of a response (see
     * transport::isResponseStatus); TooLarge for a header over the limit. Precondition: no earlier
     * call failed.
     */
    core::result<std::size_t> parse(std::string_view bytes);

    /**
     * Signals the end of the connection, which completes a message without a length.
     * Error: ParseFailed if the message is incomplete.
     */
    core::result<void> finishAtEof();

    /** Returns true once the header is complete. */
    bool hasHead() const noexcept;

    /** Returns true once the whole message has been parsed. */
    bool complete() const noexcept;

    /** Returns true once the first byte of the message has been parsed. */
    bool started() const noexcept;

    /** Returns start line and header; valid as long as the parser. Precondition: hasHead(). */
    const message_head &head() const noexcept;

private:
    class implementation;
    template<bool isRequest>
    class beast_implementation;

    bool mayAdvance(std::string_view bytes) const;

    std::unique_ptr<implementation> m_implementation;
    /** Bytes that Beast has read without consuming them. */
    std::size_t m_unconsumed = 0;
    /** Unconsumed bytes that were searched for the end of the header or line. */
    std::size_t m_searched = 0;
};

} // namespace comfreypass::http1
