#include "http1/message_parser.h"

#include "transport/message_framing.h"
#include "transport/response_status.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <limits>
#include <string>
#include <utility>

namespace comfreypass::http1 {

namespace {

namespace beast = boost::beast;
using beast_error = beast::error_code;

/**
 * Maximum number of header fields. A field occupies many times the bytes of its shortest form; a
 * header of 16 KiB cannot have more.
 */
constexpr std::size_t maxHeaderFields = 4'096;

/** Colon and line end of a field. */
constexpr std::size_t delimiterBytes = 3;

/** Version number that Beast reports for HTTP/1.1. */
constexpr int http11 = 11;

std::string_view toView(beast::string_view text)
{
    return {text.data(), text.size()};
}

/**
 * Returns true if a field is continued on the next line. Recipients disagree on whether such a line
 * is a field of its own, which may be one that states the length of the body. Precondition: `bytes`
 * begin with a line of the header.
 */
bool hasContinuationLine(std::string_view bytes)
{
    constexpr std::string_view lineEnd = "\r\n";
    if (bytes.starts_with(lineEnd))
        return false;
    const std::string_view header = bytes.substr(0, bytes.find("\r\n\r\n"));
    return header.find("\r\n ") != std::string_view::npos
           || header.find("\r\n\t") != std::string_view::npos;
}

/** Returns true if an empty line ends at or after `from`, also if it ends with LF alone. */
bool hasBlankLineAfter(std::string_view bytes, std::size_t from)
{
    for (std::size_t end = bytes.find('\n', from); end != std::string_view::npos;
         end = bytes.find('\n', end + 1)) {
        std::string_view before = bytes.substr(0, end);
        if (before.ends_with('\r'))
            before.remove_suffix(1);
        if (before.ends_with('\n'))
            return true;
    }
    return false;
}

} // namespace

class message_parser::implementation
{
public:
    implementation() = default;
    virtual ~implementation() = default;
    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    virtual std::size_t put(std::string_view bytes, beast_error &error) = 0;
    virtual void putEof(beast_error &error) = 0;
    virtual void skipBody() = 0;
    virtual bool hasHead() const = 0;
    virtual bool complete() const = 0;
    virtual bool started() const = 0;

    message_head head;
    /** Why the end of the message is uncertain; empty if it is certain. */
    std::string_view framingFault;
};

template<bool isRequest>
class message_parser::beast_implementation final : public implementation,
                                                   private beast::http::basic_parser<isRequest>
{
    using parser = beast::http::basic_parser<isRequest>;

public:
    beast_implementation(std::size_t headerBytes, body_function onBody)
        : m_onBody(std::move(onBody)), m_headerLimit(headerBytes)
    {
        // basic_parser takes a 32-bit limit.
        constexpr std::size_t maxHeaderBytes = std::numeric_limits<std::uint32_t>::max();
        this->header_limit(static_cast<std::uint32_t>(
            headerBytes < maxHeaderBytes ? headerBytes : maxHeaderBytes));
        this->body_limit(boost::none);
        this->eager(true);
    }

    std::size_t put(std::string_view bytes, beast_error &error) override
    {
        // Beast joins continued lines, so they must be found before.
        if (!m_headerDone && hasContinuationLine(bytes)) {
            framingFault = "a header field is continued on the next line";
            error = beast::http::error::bad_field;
            return 0;
        }
        return parser::put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    }

    void putEof(beast_error &error) override
    {
        if (!parser::got_some()) {
            error = beast::http::error::end_of_stream;
            return;
        }
        parser::put_eof(error);
    }

    void skipBody() override { parser::skip(true); }
    bool hasHead() const override { return parser::is_header_done(); }
    bool complete() const override { return parser::is_done(); }
    bool started() const override { return parser::got_some(); }

private:
    void on_request_impl(beast::http::verb /*method*/, beast::string_view method,
                         beast::string_view target, int version, beast_error & /*error*/) override
    {
        head.isHttp11 = version >= http11;
        head.method = toView(method);
        head.target = toView(target);
    }

    void on_response_impl(int code, beast::string_view reason, int version,
                          beast_error &error) override
    {
        head.isHttp11 = version >= http11;
        head.status = static_cast<unsigned>(code);
        // Beast accepts any three digits.
        if (!transport::isResponseStatus(head.status))
            error = beast::http::error::bad_status;
        head.reason = toView(reason);
    }

    void on_field_impl(beast::http::field /*id*/, beast::string_view name, beast::string_view value,
                       beast_error &error) override
    {
        // Trailer fields arrive after the header and are discarded.
        if (m_headerDone)
            return;
        // Beast limits only the bytes that it has not parsed yet.
        m_headerBytes += name.size() + value.size() + delimiterBytes;
        if (m_headerBytes > m_headerLimit || ++m_fieldCount > maxHeaderFields) {
            error = beast::http::error::header_limit;
            return;
        }
        head.headers.add(std::string(toView(name)), std::string(toView(value)));
    }

    void on_header_impl(beast_error &error) override
    {
        m_headerDone = true;
        // Beast ignores a coding that it does not know, and takes the message to have no body.
        if (const auto fault = transport::framingFault(head.headers)) {
            framingFault = *fault;
            error = beast::http::error::bad_transfer_encoding;
            return;
        }
        head.keepAlive = parser::keep_alive();
        head.chunked = parser::chunked();
        if (const auto length = parser::content_length())
            head.contentLength = *length;
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                           beast_error & /*error*/) override
    { }

    std::size_t on_body_impl(beast::string_view body, beast_error & /*error*/) override
    {
        m_onBody(toView(body));
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                              beast_error & /*error*/) override
    { }

    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, beast::string_view body,
                                   beast_error & /*error*/) override
    {
        if (!body.empty())
            m_onBody(toView(body));
        return body.size();
    }

    void on_finish_impl(beast_error & /*error*/) override { }

    body_function m_onBody;
    std::size_t m_headerLimit;
    std::size_t m_headerBytes = 0;
    std::size_t m_fieldCount = 0;
    bool m_headerDone = false;
};

message_parser::message_parser(message_kind kind, std::size_t headerBytes, body_function onBody)
{
    if (kind == message_kind::Request)
        m_implementation
            = std::make_unique<beast_implementation<true>>(headerBytes, std::move(onBody));
    else
        m_implementation
            = std::make_unique<beast_implementation<false>>(headerBytes, std::move(onBody));
}

message_parser::~message_parser() = default;

void message_parser::skipBody()
{
    m_implementation->skipBody();
}

core::result<std::size_t> message_parser::parse(std::string_view bytes)
{
    if (bytes.empty() || m_implementation->complete())
        return std::size_t{0};
    beast_error error;
    const bool advances = mayAdvance(bytes);
    m_searched = bytes.size();
    if (!advances)
        return std::size_t{0};
    const std::size_t consumed = m_implementation->put(bytes, error);
    m_unconsumed = bytes.size() - consumed;
    m_searched = m_unconsumed;
    if (!error || error == beast::http::error::need_more)
        return consumed;
    const bool isTooLarge = error == beast::http::error::header_limit;
    const std::string_view fault = m_implementation->framingFault;
    return core::error{isTooLarge ? core::errc::TooLarge : core::errc::ParseFailed, "HTTP message",
                       fault.empty() ? error.message() : std::string(fault), ""};
}

// Beast reads an incomplete header, chunk header or trailer from its start each time, so one that
// arrives byte by byte would cost the square of its length.
bool message_parser::mayAdvance(std::string_view bytes) const
{
    if (bytes.size() >= 2 * m_unconsumed)
        return true;
    if (!m_implementation->hasHead())
        return hasBlankLineAfter(bytes, m_searched);
    return bytes.find('\n', m_searched) != std::string_view::npos;
}

core::result<void> message_parser::finishAtEof()
{
    if (m_implementation->complete())
        return boost::outcome_v2::success();
    beast_error error;
    m_implementation->putEof(error);
    if (error)
        return core::error{core::errc::ParseFailed, "HTTP message", error.message(), ""};
    return boost::outcome_v2::success();
}

bool message_parser::hasHead() const noexcept
{
    return m_implementation->hasHead();
}

bool message_parser::complete() const noexcept
{
    return m_implementation->complete();
}

bool message_parser::started() const noexcept
{
    return m_implementation->started();
}

const message_head &message_parser::head() const noexcept
{
    return m_implementation->head;
}

} // namespace comfreypass::http1
