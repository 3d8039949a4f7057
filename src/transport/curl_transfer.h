#pragma once

#include "transport/http_call.h"
#include "transport/http_call_events.h"

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::transport {

/** One call of the HTTP client with its libcurl handle. Not thread-safe. */
class curl_transfer
{
public:
    curl_transfer(std::uint64_t id, http_call call, std::shared_ptr<http_call_events> events);
    ~curl_transfer() = default;
    curl_transfer(const curl_transfer &) = delete;
    curl_transfer &operator=(const curl_transfer &) = delete;

    /** Returns the transfer that owns a handle. */
    static curl_transfer &fromHandle(CURL *easy);

    /** Sets the options of the handle. Returns false if the deadline has passed; see the result. */
    bool prepare();

    std::uint64_t id() const noexcept { return m_id; }
    CURL *easy() const noexcept { return m_easy.get(); }
    bool cancelled() const noexcept { return m_cancelled; }

    /** Suppresses all further events except onDone. */
    void cancel() noexcept { m_cancelled = true; }

    core::time_point deadline() const noexcept { return m_call.deadline; }

    /** Makes the result a timeout. */
    void expire() noexcept;

    /** Clears the paused flag and returns its previous value. */
    bool clearPause() noexcept;

    /** Resumes delivery of the bytes that libcurl has buffered; an error ends the transfer. */
    CURLcode unpause();

    /** Sets the result once libcurl has ended the transfer. */
    void setResult(CURLcode code);

    /** Calls onDone with the result and releases the event receiver. */
    void reportDone();

private:
    struct easy_deleter
    {
        void operator()(CURL *easy) const noexcept { curl_easy_cleanup(easy); }
    };
    struct list_deleter
    {
        void operator()(curl_slist *list) const noexcept { curl_slist_free_all(list); }
    };

    static int onBeforeSend(void *self, char *remoteIp, char *localIp, int remotePort,
                            int localPort) noexcept;
    static std::size_t onHeaderLine(char *data, std::size_t size, std::size_t count,
                                    void *self) noexcept;
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self) noexcept;

    void setMethod();
    void setHeaders();
    bool maySendRequest();
    bool processHeaderLine(std::string_view line);
    bool processStatusLine(std::string_view line);
    bool processField(std::string_view line);
    bool finishHeader();
    bool mayHaveBody() const;
    bool isResponseFramed() const;
    bool isResponseWhole() const;
    http_call_result::error_kind classify(CURLcode code) const;

    std::uint64_t m_id;
    http_call m_call;
    std::shared_ptr<http_call_events> m_events;
    std::unique_ptr<CURL, easy_deleter> m_easy;
    std::unique_ptr<curl_slist, list_deleter> m_fields;
    /** Status of the header that is being read; 0 before its status line. */
    unsigned m_headerStatus = 0;
    http_headers m_responseHeaders;
    std::size_t m_headerBytes = 0;
    std::size_t m_bodyBytes = 0;
    bool m_headerComplete = false;
    bool m_cancelled = false;
    bool m_paused = false;
    bool m_refusedBeforeSend = false;
    bool m_deadlinePassed = false;
    std::optional<std::string> m_errorDetail;
    http_call_result m_result;
};

} // namespace comfreypass::transport
