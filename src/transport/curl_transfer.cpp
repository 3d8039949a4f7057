#include "transport/curl_transfer.h"

#include "core/parse_unsigned.h"
#include "transport/callback_guard.h"
#include "transport/clock.h"
#include "transport/field_name.h"
#include "transport/message_framing.h"
#include "transport/response_status.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace comfreypass::transport {

namespace {

using error_kind = http_call_result::error_kind;

/** Maximum size of a response header. */
constexpr std::size_t maxResponseHeaderBytes = 65'536;

/** Maximum bytes in one onData call, and in libcurl's buffer while reading is paused. */
constexpr long maxReadBlockBytes = 16'384;

long toMilliseconds(core::duration time)
{
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(time);
    // 0 means "no limit" or "default" to libcurl.
    return std::max<long>(1, static_cast<long>(rounded.count()));
}

/** Returns false for a field with a line break or NUL, which could inject header fields. */
bool isSafeField(const http_headers::field &field)
{
    const auto unsafe = [](char c) {
        return c == '\r' || c == '\n' || c == '\0';
    };
    return std::ranges::none_of(field.first, unsafe) && std::ranges::none_of(field.second, unsafe);
}

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

} // namespace

curl_transfer::curl_transfer(std::uint64_t id, http_call call,
                             std::shared_ptr<http_call_events> events)
    : m_id(id), m_call(std::move(call)), m_events(std::move(events)), m_easy(curl_easy_init())
{ }

curl_transfer &curl_transfer::fromHandle(CURL *easy)
{
    void *self = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &self);
    return *static_cast<curl_transfer *>(self);
}

bool curl_transfer::prepare()
{
    const core::time_point now = monotonicNow();
    if (m_call.deadline <= now) {
        m_deadlinePassed = true;
        return false;
    }
    CURL *easy = m_easy.get();
    curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
    curl_easy_setopt(easy, CURLOPT_URL, m_call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, maxReadBlockBytes);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, toMilliseconds(m_call.connectTimeout));
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &curl_transfer::onBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &curl_transfer::onHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &curl_transfer::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    // libcurl retries a request on its own if a reused connection turns out to be closed.
    const bool mayReuseConnection = m_call.method == "GET" && !m_call.beforeSend;
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, mayReuseConnection ? 0L : 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, mayReuseConnection ? 0L : 1L);
    setMethod();
    setHeaders();
    return true;
}

void curl_transfer::setMethod()
{
    CURL *easy = m_easy.get();
    if (m_call.method == "GET" && m_call.body.empty())
        return;
    if (m_call.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    const bool sendsBody
        = m_call.method == "POST" || m_call.method == "PUT" || m_call.method == "PATCH";
    if (sendsBody || !m_call.body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(m_call.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, m_call.body.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, m_call.method.c_str());
}

void curl_transfer::setHeaders()
{
    const auto append = [this](const std::string &line) {
        curl_slist *extended = curl_slist_append(m_fields.get(), line.c_str());
        if (extended != nullptr) {
            static_cast<void>(m_fields.release());
            m_fields.reset(extended);
        }
    };
    // Removes the fields that libcurl adds by default: "Expect: 100-continue" and the content type
    // of a web form.
    append("Expect:");
    if (!m_call.headers.find("Content-Type"))
        append("Content-Type:");
    for (const auto &field : m_call.headers) {
        // "Name:" removes a field; "Name;" sends it with an empty value.
        if (isSafeField(field))
            append(field.second.empty() ? field.first + ";" : field.first + ": " + field.second);
    }
    curl_easy_setopt(m_easy.get(), CURLOPT_HTTPHEADER, m_fields.get());
}

int curl_transfer::onBeforeSend(void *self, char * /*remoteIp*/, char * /*localIp*/,
                                int /*remotePort*/, int /*localPort*/) noexcept
{
    bool allowed = false;
    guarded("beforeSend", [&] { allowed = static_cast<curl_transfer *>(self)->maySendRequest(); });
    return allowed ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

bool curl_transfer::maySendRequest()
{
    if (m_cancelled)
        return false;
    if (m_call.deadline <= monotonicNow()) {
        m_deadlinePassed = true;
        return false;
    }
    if (m_call.beforeSend) {
        if (m_result.requestBytesMayHaveLeft) {
            m_errorDetail = "libcurl attempted to send the request a second time";
            return false;
        }
        // Stays set if beforeSend throws.
        m_refusedBeforeSend = true;
        m_refusedBeforeSend = !m_call.beforeSend();
    }
    if (m_refusedBeforeSend)
        return false;
    m_result.requestBytesMayHaveLeft = true;
    return true;
}

std::size_t curl_transfer::onHeaderLine(char *data, std::size_t size, std::size_t count,
                                        void *self) noexcept
{
    bool accepted = false;
    guarded("onHeaders", [&] {
        accepted = static_cast<curl_transfer *>(self)->processHeaderLine({data, size * count});
    });
    return accepted ? size * count : 0;
}

bool curl_transfer::processHeaderLine(std::string_view line)
{
    if (m_cancelled)
        return false;
    const std::string_view text = trim(line);
    // A trailer after the last chunk.
    if (m_headerComplete)
        return text.empty() || processField(line);
    m_headerBytes += line.size();
    if (m_headerBytes > maxResponseHeaderBytes) {
        m_errorDetail = "response header is larger than 64 KiB";
        return false;
    }
    // libcurl accepts both, but other recipients may see other fields, and so another end.
    if (!line.ends_with("\r\n") || line.starts_with(' ') || line.starts_with('\t')) {
        m_errorDetail = "a line of the response header is continued or not terminated by CRLF";
        return false;
    }
    if (m_headerStatus == 0)
        return processStatusLine(text);
    return text.empty() ? finishHeader() : processField(line);
}

bool curl_transfer::processStatusLine(std::string_view line)
{
    // libcurl also accepts statuses that no response of HTTP has.
    const auto status = parseStatusLine(line);
    if (!status) {
        m_errorDetail = "the response does not begin with a valid status line";
        return false;
    }
    m_headerStatus = *status;
    m_responseHeaders = {};
    return true;
}

bool curl_transfer::processField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    // libcurl accepts any name; other recipients may read another one, or another field.
    if (colon == std::string_view::npos || !isFieldName(line.substr(0, colon))) {
        m_errorDetail = "a field of the response has no valid name";
        return false;
    }
    // Trailer fields are discarded.
    if (!m_headerComplete)
        m_responseHeaders.add(std::string(line.substr(0, colon)),
                              std::string(trim(line.substr(colon + 1))));
    return true;
}

bool curl_transfer::finishHeader()
{
    const unsigned status = std::exchange(m_headerStatus, 0);
    if (isInterimStatus(status))
        return true;
    m_headerComplete = true;
    if (const auto fault = framingFault(m_responseHeaders)) {
        m_errorDetail = std::string(*fault);
        return false;
    }
    m_result.status = status;
    m_events->onHeaders(m_result.status, m_responseHeaders);
    return !m_cancelled;
}

std::size_t curl_transfer::onBody(char *data, std::size_t size, std::size_t count,
                                  void *self) noexcept
{
    auto *transfer = static_cast<curl_transfer *>(self);
    if (transfer->m_cancelled)
        return 0;
    // libcurl keeps these bytes and delivers them again after unpause().
    if (transfer->m_paused)
        return CURL_WRITEFUNC_PAUSE;
    const std::size_t bytes = size * count;
    transfer->m_bodyBytes += bytes;
    if (transfer->m_bodyBytes > transfer->m_call.maxBodyBytes) {
        transfer->m_errorDetail = "the response body is larger than the limit";
        return 0;
    }
    const bool returned = guarded("onData", [&] {
        transfer->m_paused = !transfer->m_events->onData({data, bytes});
    });
    return returned && !transfer->m_cancelled ? bytes : 0;
}

void curl_transfer::expire() noexcept
{
    m_deadlinePassed = true;
}

bool curl_transfer::clearPause() noexcept
{
    return std::exchange(m_paused, false);
}

CURLcode curl_transfer::unpause()
{
    return curl_easy_pause(m_easy.get(), CURLPAUSE_CONT);
}

bool curl_transfer::mayHaveBody() const
{
    return m_call.method != "HEAD" && m_result.status != 204 && m_result.status != 304;
}

bool curl_transfer::isResponseFramed() const
{
    if (!m_headerComplete)
        return false;
    if (!mayHaveBody())
        return true;
    const auto coding = m_responseHeaders.find("Transfer-Encoding");
    if (coding)
        return boost::algorithm::icontains(*coding, "chunked");
    return m_responseHeaders.find("Content-Length").has_value();
}

// libcurl does not tell whether it has read the last chunk.
bool curl_transfer::isResponseWhole() const
{
    if (!m_headerComplete)
        return false;
    const auto length = m_responseHeaders.find("Content-Length");
    return !mayHaveBody() || (length && core::parseUnsigned(*length) == m_bodyBytes);
}

error_kind curl_transfer::classify(CURLcode code) const
{
    if (m_cancelled)
        return error_kind::Cancelled;
    if (m_deadlinePassed)
        return error_kind::Timeout;
    // An upstream may respond without reading the whole request.
    if (code == CURLE_OK || (code == CURLE_SEND_ERROR && isResponseWhole()))
        return error_kind::None;
    if (m_refusedBeforeSend)
        return error_kind::RefusedBeforeSend;
    if (code == CURLE_OPERATION_TIMEDOUT
        && (m_result.requestBytesMayHaveLeft || m_call.deadline <= monotonicNow()))
        return error_kind::Timeout;
    return m_result.requestBytesMayHaveLeft ? error_kind::Broken : error_kind::ConnectFailed;
}

void curl_transfer::setResult(CURLcode code)
{
    m_result.error = classify(code);
    m_result.complete = m_result.error == error_kind::None && isResponseFramed();
    if (m_errorDetail)
        m_result.detail = *m_errorDetail;
    else if (m_result.error != error_kind::None && code != CURLE_OK)
        m_result.detail = curl_easy_strerror(code);
}

void curl_transfer::reportDone()
{
    const auto events = std::exchange(m_events, nullptr);
    guarded("onDone", [&] { events->onDone(m_result); });
}

} // namespace comfreypass::transport
