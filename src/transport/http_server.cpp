#include "transport/http_server.h"

#include "transport/callback_guard.h"
#include "transport/message_framing.h"
#include "transport/mhd_exchange.h"
#include "transport/problem.h"
#include "transport/reactor_timer.h"

#include <ace/Event_Handler.h>
#include <arpa/inet.h>
#include <boost/log/trivial.hpp>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <set>
#include <utility>
#include <vector>

namespace comfreypass::transport {

namespace {

/** Connection memory for the response header and chunks, in addition to the request header. */
constexpr std::size_t responsePoolBytes = 32'768;

/** A disconnect of a caller is detected within twice this time, even under load. */
constexpr auto disconnectCheckInterval = std::chrono::milliseconds(100);

/** Body bytes over the limit that are read and discarded, so that the caller can read the 413. */
constexpr std::size_t maxDiscardedBodyBytes = 8'388'608;

/** Bodies up to this size may use all of the memory for bodies. */
constexpr std::size_t smallBodyBytes = 65'536;

struct daemon_deleter
{
    void operator()(MHD_Daemon *daemon) const noexcept { MHD_stop_daemon(daemon); }
};

std::string formatAddress(const sockaddr *address)
{
    if (address == nullptr)
        return {};
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address->sa_family == AF_INET) {
        const auto *v4 = reinterpret_cast<const sockaddr_in *>(address);
        inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
        return std::string(text.data()) + ":" + std::to_string(ntohs(v4->sin_port));
    }
    if (address->sa_family == AF_INET6) {
        const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(address);
        inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
        return "[" + std::string(text.data()) + "]:" + std::to_string(ntohs(v6->sin6_port));
    }
    return {};
}

MHD_Result addHeader(void *request, MHD_ValueKind /*kind*/, const char *key, std::size_t keySize,
                     const char *value, std::size_t valueSize) noexcept
{
    const bool added = guarded("request header", [&] {
        static_cast<http_request *>(request)->headers.add(
            std::string(key, keySize), std::string(value == nullptr ? "" : value, valueSize));
    });
    return added ? MHD_YES : MHD_NO;
}

MHD_Result addArgument(void *request, MHD_ValueKind /*kind*/, const char *key, std::size_t keySize,
                       const char *value, std::size_t valueSize) noexcept
{
    const bool added = guarded("query argument", [&] {
        static_cast<http_request *>(request)->arguments.try_emplace(
            std::string(key, keySize), std::string(value == nullptr ? "" : value, valueSize));
    });
    return added ? MHD_YES : MHD_NO;
}

std::size_t declaredBodyBytes(const http_request &request)
{
    const std::string_view text = request.headers.find("Content-Length").value_or("");
    std::size_t size = 0;
    std::from_chars(text.data(), text.data() + text.size(), size);
    return size;
}

/**
 * Returns true if no field name or value contains a delimiter. libmicrohttpd appends a line that
 * continues the one before to the field's name, and keeps a carriage return within a value.
 */
bool areFieldsWellFormed(const http_headers &headers)
{
    return std::ranges::all_of(headers, [](const http_headers::field &field) {
        return field.first.find_first_of(" \t:\r\n") == std::string::npos
               && field.second.find_first_of("\r\n") == std::string::npos;
    });
}

std::string_view toString(MHD_RequestTerminationCode code)
{
    switch (code) {
    case MHD_REQUEST_TERMINATED_COMPLETED_OK:
        return "completed";
    case MHD_REQUEST_TERMINATED_WITH_ERROR:
        return "error";
    case MHD_REQUEST_TERMINATED_TIMEOUT_REACHED:
        return "timeout";
    case MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN:
        return "shutdown";
    case MHD_REQUEST_TERMINATED_READ_ERROR:
        return "read error";
    case MHD_REQUEST_TERMINATED_CLIENT_ABORT:
        return "closed by the caller";
    }
    return "unknown";
}

problem makeProblem(unsigned status, std::string title, std::string reason)
{
    problem document;
    document.status = status;
    document.title = std::move(title);
    document.reason = std::move(reason);
    document.outcome = "not_run";
    return document;
}

} // namespace

class http_server::implementation : private ACE_Event_Handler
{
public:
    implementation(ACE_Reactor &reactor, http_server_settings settings, http_handler &handler)
        : m_reactor(reactor), m_settings(std::move(settings)), m_handler(handler),
          m_runTimer(reactor, [this] { run(); }),
          m_disconnectCheck(reactor, [this] { checkDisconnects(); })
    {
        // A single body is taken whatever the limit for all of them is.
        m_settings.totalBodyBytes = std::max(m_settings.totalBodyBytes, 2 * m_settings.bodyBytes);
    }

    ~implementation() override
    {
        if (m_daemon == nullptr)
            return;
        m_reactor.remove_handler(m_epoll, ALL_EVENTS_MASK | DONT_CALL);
        for (const auto &exchange : std::set(m_exchanges))
            exchange->onCallerDisconnected();
        m_daemon.reset();
    }

    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    core::result<std::uint16_t> listen();
    void stopListening();
    std::size_t openConnections() const noexcept;
    std::uint16_t port() const noexcept { return m_port; }
    std::size_t openExchanges() const noexcept { return m_exchanges.size(); }

private:
    /** State of a request from its header until libmicrohttpd has completed it. */
    struct pending_request
    {
        std::shared_ptr<mhd_exchange> exchange;
        bool tooLarge = false;
        bool passedToHandler = false;
        std::size_t receivedBytes = 0;
        /** Bytes of the body that count against totalBodyBytes. */
        std::size_t heldBytes = 0;
        bool refused = false;
    };

    static MHD_Result onAccess(void *self, MHD_Connection *connection, const char *url,
                               const char *method, const char *version, const char *data,
                               std::size_t *dataSize, void **state) noexcept;
    static void onCompleted(void *self, MHD_Connection *connection, void **state,
                            MHD_RequestTerminationCode code) noexcept;

    int handle_input(ACE_HANDLE descriptor) override;
    void run();
    void scheduleRun();
    void checkDisconnects();
    MHD_Result handleAccess(MHD_Connection *connection, const char *url, const char *method,
                            std::string_view data, std::size_t *dataSize, void **state);
    MHD_Result beginRequest(MHD_Connection *connection, const char *url, const char *method,
                            void **state);
    MHD_Result passToHandler(pending_request &pending);
    void appendBody(pending_request &pending, std::string_view data);
    void dropBody(pending_request &pending);

    ACE_Reactor &m_reactor;
    http_server_settings m_settings;
    http_handler &m_handler;
    reactor_timer m_runTimer;
    reactor_timer m_disconnectCheck;
    std::unique_ptr<MHD_Daemon, daemon_deleter> m_daemon;
    int m_epoll = -1;
    std::uint16_t m_port = 0;
    std::set<std::shared_ptr<mhd_exchange>> m_exchanges;
    /** Bytes of all bodies that are held. */
    std::size_t m_heldBytes = 0;
};

core::result<std::uint16_t> http_server::implementation::listen()
{
    const std::string endpoint = m_settings.address + ":" + std::to_string(m_settings.port);
    sockaddr_storage address{};
    auto *v4 = reinterpret_cast<sockaddr_in *>(&address);
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&address);
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    if (inet_pton(AF_INET, m_settings.address.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(m_settings.port);
    } else if (inet_pton(AF_INET6, m_settings.address.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(m_settings.port);
        flags |= MHD_USE_IPv6;
    } else {
        return core::error{core::errc::InvalidArgument, endpoint, "not a numeric IP address",
                           "give an IPv4 or IPv6 address"};
    }

    std::vector<MHD_OptionItem> options;
    if (!m_settings.tlsKeyPem.empty() || !m_settings.tlsCertificatePem.empty()) {
        if (MHD_is_feature_supported(MHD_FEATURE_TLS) != MHD_YES)
            return core::error{core::errc::InvalidArgument, endpoint,
                               "libmicrohttpd is built without TLS", ""};
        flags |= MHD_USE_TLS;
        options.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, m_settings.tlsKeyPem.data()});
        options.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, m_settings.tlsCertificatePem.data()});
    }
    options.push_back({MHD_OPTION_END, 0, nullptr});

    errno = 0;
    m_daemon.reset(
        MHD_start_daemon(flags, m_settings.port, nullptr, nullptr, &implementation::onAccess, this,
                         MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
                         &implementation::onCompleted, this, MHD_OPTION_CONNECTION_LIMIT,
                         m_settings.connectionLimit, MHD_OPTION_PER_IP_CONNECTION_LIMIT,
                         m_settings.connectionLimitPerAddress, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                         m_settings.headerBytes + responsePoolBytes, MHD_OPTION_CONNECTION_TIMEOUT,
                         m_settings.idleSeconds, MHD_OPTION_ARRAY, options.data(), MHD_OPTION_END));
    if (m_daemon == nullptr) {
        const int cause = errno;
        const bool isIoError = cause == EADDRINUSE || cause == EADDRNOTAVAIL || cause == EACCES;
        return core::error{isIoError ? core::errc::Io : core::errc::InvalidArgument, endpoint,
                           std::string("cannot listen: ")
                               + (cause == 0 ? "invalid settings" : std::strerror(cause)),
                           "check address, port, key and certificate"};
    }

    m_epoll = MHD_get_daemon_info(m_daemon.get(), MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_port = MHD_get_daemon_info(m_daemon.get(), MHD_DAEMON_INFO_BIND_PORT)->port;
    if (m_reactor.register_handler(m_epoll, this, READ_MASK) != 0) {
        m_daemon.reset();
        return core::error{core::errc::Io, endpoint,
                           "the reactor cannot register the epoll descriptor", ""};
    }
    m_disconnectCheck.startRepeating(disconnectCheckInterval);
    scheduleRun();
    return m_port;
}

void http_server::implementation::stopListening()
{
    if (m_daemon == nullptr)
        return;
    const MHD_socket listening = MHD_quiesce_daemon(m_daemon.get());
    if (listening != MHD_INVALID_SOCKET)
        ::close(listening);
}

std::size_t http_server::implementation::openConnections() const noexcept
{
    if (m_daemon == nullptr)
        return 0;
    const MHD_DaemonInfo *info
        = MHD_get_daemon_info(m_daemon.get(), MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info == nullptr ? 0 : info->num_connections;
}

int http_server::implementation::handle_input(ACE_HANDLE /*descriptor*/)
{
    run();
    return 0;
}

void http_server::implementation::run()
{
    MHD_run(m_daemon.get());
    scheduleRun();
}

void http_server::implementation::scheduleRun()
{
    MHD_UNSIGNED_LONG_LONG milliseconds = 0;
    if (MHD_get_timeout(m_daemon.get(), &milliseconds) == MHD_YES)
        m_runTimer.startOnce(std::chrono::milliseconds(milliseconds));
    else
        m_runTimer.stop();
}

void http_server::implementation::checkDisconnects()
{
    std::vector<std::shared_ptr<mhd_exchange>> watched;
    std::vector<pollfd> descriptors;
    for (const auto &exchange : m_exchanges) {
        const int descriptor = exchange->watchedDescriptor();
        if (descriptor < 0)
            continue;
        watched.push_back(exchange);
        // POLLRDHUP also reports a disconnect behind unread bytes, which a read with MSG_PEEK
        // misses.
        descriptors.push_back({descriptor, POLLRDHUP, 0});
    }
    if (descriptors.empty() || ::poll(descriptors.data(), descriptors.size(), 0) <= 0)
        return;
    for (std::size_t i = 0; i < descriptors.size(); ++i) {
        if (descriptors[i].revents != 0)
            watched[i]->onCallerDisconnected();
    }
}

MHD_Result http_server::implementation::onAccess(void *self, MHD_Connection *connection,
                                                 const char *url, const char *method,
                                                 const char * /*version*/, const char *data,
                                                 std::size_t *dataSize, void **state) noexcept
{
    MHD_Result result = MHD_NO;
    guarded("access handler", [&] {
        result = static_cast<implementation *>(self)->handleAccess(
            connection, url, method, std::string_view(data, data == nullptr ? 0 : *dataSize),
            dataSize, state);
    });
    return result;
}

MHD_Result http_server::implementation::handleAccess(MHD_Connection *connection, const char *url,
                                                     const char *method, std::string_view data,
                                                     std::size_t *dataSize, void **state)
{
    if (*state == nullptr)
        return beginRequest(connection, url, method, state);
    auto &pending = *static_cast<pending_request *>(*state);
    if (!data.empty()) {
        *dataSize = 0;
        pending.receivedBytes += data.size();
        if (pending.receivedBytes > m_settings.bodyBytes + maxDiscardedBodyBytes)
            return MHD_NO;
        appendBody(pending, data);
        return MHD_YES;
    }
    if (!pending.passedToHandler)
        return passToHandler(pending);
    return pending.exchange->advance();
}

// The rest of a refused body is read and discarded, so that the caller can read the response.
void http_server::implementation::appendBody(pending_request &pending, std::string_view data)
{
    pending.tooLarge = pending.receivedBytes > m_settings.bodyBytes;
    const bool isSmall = pending.receivedBytes <= smallBodyBytes;
    const std::size_t limit
        = isSmall ? m_settings.totalBodyBytes : m_settings.totalBodyBytes / 4 * 3;
    if (m_heldBytes + data.size() > limit)
        pending.refused = true;
    if (pending.tooLarge || pending.refused) {
        dropBody(pending);
        return;
    }
    pending.exchange->mutableRequest().body += data;
    pending.heldBytes += data.size();
    m_heldBytes += data.size();
}

void http_server::implementation::dropBody(pending_request &pending)
{
    m_heldBytes -= std::exchange(pending.heldBytes, 0);
    // Clearing would keep the memory.
    std::string().swap(pending.exchange->mutableRequest().body);
}

MHD_Result http_server::implementation::beginRequest(MHD_Connection *connection, const char *url,
                                                     const char *method, void **state)
{
    auto pending = std::make_unique<pending_request>();
    pending->exchange
        = std::make_shared<mhd_exchange>(connection, m_settings.relayBufferBytes,
                                         [this] { m_runTimer.startOnce(core::duration::zero()); });
    http_request &request = pending->exchange->mutableRequest();
    request.method = method;
    request.path = url;
    MHD_get_connection_values_n(connection, MHD_HEADER_KIND, &addHeader, &request);
    MHD_get_connection_values_n(connection, MHD_GET_ARGUMENT_KIND, &addArgument, &request);
    const MHD_ConnectionInfo *client
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    request.remoteAddress = formatAddress(client == nullptr ? nullptr : client->client_addr);
    const MHD_ConnectionInfo *header
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

    mhd_exchange &exchange = *pending->exchange;
    *state = pending.release();
    if (!areFieldsWellFormed(request.headers) || framingFault(request.headers)) {
        makeProblem(MHD_HTTP_BAD_REQUEST, "The end of the request is not certain",
                    "uncertain_framing")
            .respondTo(exchange, {{"Connection", "close"}});
        return exchange.advance();
    }
    if (header != nullptr && header->header_size > m_settings.headerBytes) {
        makeProblem(MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, "Request header too large",
                    "header_too_large")
            .respondTo(exchange, {{"Connection", "close"}});
        return exchange.advance();
    }
    if (declaredBodyBytes(request) > m_settings.bodyBytes + maxDiscardedBodyBytes) {
        makeProblem(MHD_HTTP_CONTENT_TOO_LARGE, "Request body too large", "body_too_large")
            .respondTo(exchange, {{"Connection", "close"}});
        return exchange.advance();
    }
    return MHD_YES;
}

MHD_Result http_server::implementation::passToHandler(pending_request &pending)
{
    pending.passedToHandler = true;
    const std::shared_ptr<mhd_exchange> exchange = pending.exchange;
    if (pending.tooLarge) {
        makeProblem(MHD_HTTP_CONTENT_TOO_LARGE, "Request body too large", "body_too_large")
            .respondTo(*exchange);
        return exchange->advance();
    }
    if (pending.refused) {
        makeProblem(MHD_HTTP_SERVICE_UNAVAILABLE, "No memory for the request body",
                    "memory_exhausted")
            .respondTo(*exchange, {{"Retry-After", "1"}, {"Connection", "close"}});
        return exchange->advance();
    }
    m_exchanges.insert(exchange);
    // The handler gets a shared pointer of its own, so that releasing the exchange without a
    // response is detected.
    std::shared_ptr<http_exchange> handlerExchange(
        exchange.get(), [exchange](http_exchange *) { exchange->onHandlerReleased(); });
    const bool returned = guarded("request handler", [&] { m_handler.onRequest(handlerExchange); });
    if (!returned) {
        // The handler may have forwarded the request before it failed.
        problem document
            = makeProblem(MHD_HTTP_INTERNAL_SERVER_ERROR, "Internal error", "internal_error");
        document.outcome = "unknown";
        document.respondTo(*exchange);
    }
    handlerExchange.reset();
    return exchange->advance();
}

void http_server::implementation::onCompleted(void *self, MHD_Connection * /*connection*/,
                                              void **state,
                                              MHD_RequestTerminationCode code) noexcept
{
    if (*state == nullptr)
        return;
    const std::unique_ptr<pending_request> pending(static_cast<pending_request *>(*state));
    *state = nullptr;
    auto &server = *static_cast<implementation *>(self);
    server.m_exchanges.erase(pending->exchange);
    server.m_heldBytes -= std::exchange(pending->heldBytes, 0);
    if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
        guarded("connection log", [&] {
            BOOST_LOG_TRIVIAL(info)
                << "connection of " << pending->exchange->request().remoteAddress
                << " ended before its response: " << toString(code) << ", "
                << pending->exchange->stateText();
        });
    pending->exchange->onConnectionClosed(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

http_server::http_server(ACE_Reactor &reactor, http_server_settings settings, http_handler &handler)
    : m_implementation(std::make_unique<implementation>(reactor, std::move(settings), handler))
{ }

http_server::~http_server() = default;

core::result<std::uint16_t> http_server::listen()
{
    return m_implementation->listen();
}

std::uint16_t http_server::port() const noexcept
{
    return m_implementation->port();
}

void http_server::stopListening()
{
    m_implementation->stopListening();
}

std::size_t http_server::openExchanges() const noexcept
{
    return m_implementation->openExchanges();
}

std::size_t http_server::openConnections() const noexcept
{
    return m_implementation->openConnections();
}

} // namespace comfreypass::transport
