#include "transport/http_client.h"

#include "transport/clock.h"
#include "transport/curl_transfer.h"
#include "transport/reactor_timer.h"
#include "transport/socket_watch.h"

#include <curl/curl.h>

#include <chrono>
#include <unordered_map>
#include <utility>
#include <vector>

namespace comfreypass::transport {

namespace {

/** Maximum idle connections kept for reuse by GET calls. */
constexpr long maxIdleConnections = 32;

struct multi_deleter
{
    void operator()(CURLM *multi) const noexcept { curl_multi_cleanup(multi); }
};

/** Initialises libcurl's process-wide state once, in the thread that creates the first client. */
void initialiseLibrary()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(code);
}

} // namespace

class http_client::implementation
{
public:
    explicit implementation(ACE_Reactor &reactor)
        : m_reactor(reactor),
          m_curlTimer(reactor, [this] { performSocketAction(CURL_SOCKET_TIMEOUT, 0); }),
          m_pendingTimer(reactor, [this] { processPending(); })
    {
        initialiseLibrary();
        m_multi.reset(curl_multi_init());
        curl_multi_setopt(m_multi.get(), CURLMOPT_SOCKETFUNCTION, &implementation::onSocket);
        curl_multi_setopt(m_multi.get(), CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi.get(), CURLMOPT_TIMERFUNCTION, &implementation::onTimer);
        curl_multi_setopt(m_multi.get(), CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi.get(), CURLMOPT_MAXCONNECTS, maxIdleConnections);
    }

    ~implementation()
    {
        for (const auto &[id, transfer] : m_transfers) {
            transfer->cancel();
            curl_multi_remove_handle(m_multi.get(), transfer->easy());
        }
    }

    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    call_handle start(http_call call, std::shared_ptr<http_call_events> events);
    void resume(call_handle call);
    void cancel(call_handle call);
    std::size_t openCalls() const noexcept { return m_transfers.size(); }

private:
    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self,
                        void *socketData) noexcept;
    static int onTimer(CURLM *multi, long milliseconds, void *self) noexcept;

    void watchSocket(curl_socket_t socket, int what);
    void performSocketAction(curl_socket_t socket, int events);
    void finishCompleted();
    void processPending();
    void startDeadline(call_handle call, core::time_point deadline);
    void onDeadline(call_handle call);
    void finish(call_handle call);

    ACE_Reactor &m_reactor;
    reactor_timer m_curlTimer;
    reactor_timer m_pendingTimer;
    std::unordered_map<curl_socket_t, std::unique_ptr<socket_watch>> m_watches;
    /** Watches closed from within their own event; destroyed by the next processPending(). */
    std::vector<std::unique_ptr<socket_watch>> m_closedWatches;
    std::unordered_map<call_handle, std::unique_ptr<curl_transfer>> m_transfers;
    /** Not left to libcurl, which ends a call at its deadline before it reads what has arrived. */
    std::unordered_map<call_handle, reactor_timer> m_deadlines;
    std::vector<call_handle> m_starting;
    std::vector<call_handle> m_resuming;
    std::vector<call_handle> m_ending;
    call_handle m_lastHandle = 0;
    std::unique_ptr<CURLM, multi_deleter> m_multi;
};

http_client::call_handle
http_client::implementation::start(http_call call, std::shared_ptr<http_call_events> events)
{
    const call_handle id = ++m_lastHandle;
    m_transfers.emplace(id,
                        std::make_unique<curl_transfer>(id, std::move(call), std::move(events)));
    // start() may be called from a libcurl callback, in which no transfer can be added.
    m_starting.push_back(id);
    m_pendingTimer.startOnce(core::duration::zero());
    return id;
}

void http_client::implementation::resume(call_handle call)
{
    const auto found = m_transfers.find(call);
    if (found == m_transfers.end() || !found->second->clearPause())
        return;
    m_resuming.push_back(call);
    m_pendingTimer.startOnce(core::duration::zero());
}

void http_client::implementation::cancel(call_handle call)
{
    const auto found = m_transfers.find(call);
    if (found == m_transfers.end() || found->second->cancelled())
        return;
    found->second->cancel();
    m_ending.push_back(call);
    m_pendingTimer.startOnce(core::duration::zero());
}

void http_client::implementation::processPending()
{
    m_closedWatches.clear();
    for (const call_handle id : std::exchange(m_starting, {})) {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end() || found->second->cancelled())
            continue;
        if (!found->second->prepare()) {
            m_ending.push_back(id);
            continue;
        }
        startDeadline(id, found->second->deadline());
        curl_multi_add_handle(m_multi.get(), found->second->easy());
    }
    for (const call_handle id : std::exchange(m_resuming, {})) {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end() || found->second->cancelled())
            continue;
        const CURLcode code = found->second->unpause();
        if (code == CURLE_OK || found->second->cancelled())
            continue;
        found->second->setResult(code);
        finish(id);
    }
    for (const call_handle id : std::exchange(m_ending, {})) {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end())
            continue;
        found->second->setResult(CURLE_OK);
        finish(id);
    }
    finishCompleted();
}

void http_client::implementation::performSocketAction(curl_socket_t socket, int events)
{
    int running = 0;
    curl_multi_socket_action(m_multi.get(), socket, events, &running);
    finishCompleted();
}

void http_client::implementation::finishCompleted()
{
    int remaining = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi.get(), &remaining)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        curl_transfer &transfer = curl_transfer::fromHandle(message->easy_handle);
        transfer.setResult(message->data.result);
        finish(transfer.id());
    }
}

void http_client::implementation::startDeadline(call_handle call, core::time_point deadline)
{
    if (deadline == core::time_point::max())
        return;
    const auto added = m_deadlines.try_emplace(call, m_reactor, [this, call] { onDeadline(call); });
    added.first->second.startOnce(deadline - monotonicNow());
}

void http_client::implementation::onDeadline(call_handle call)
{
    curl_transfer &transfer = *m_transfers.at(call);
    transfer.expire();
    transfer.setResult(CURLE_OK);
    finish(call);
}

void http_client::implementation::finish(call_handle call)
{
    m_deadlines.erase(call);
    const auto found = m_transfers.find(call);
    const std::unique_ptr<curl_transfer> transfer = std::move(found->second);
    m_transfers.erase(found);
    curl_multi_remove_handle(m_multi.get(), transfer->easy());
    transfer->reportDone();
}

int http_client::implementation::onSocket(CURL * /*easy*/, curl_socket_t socket, int what,
                                          void *self, void * /*socketData*/) noexcept
{
    static_cast<implementation *>(self)->watchSocket(socket, what);
    return 0;
}

void http_client::implementation::watchSocket(curl_socket_t socket, int what)
{
    auto &watch = m_watches[socket];
    if (what == CURL_POLL_REMOVE) {
        if (watch != nullptr) {
            watch->watchFor(ACE_Event_Handler::NULL_MASK);
            m_closedWatches.push_back(std::move(watch));
        }
        m_watches.erase(socket);
        return;
    }
    if (watch == nullptr) {
        watch = std::make_unique<socket_watch>(
            m_reactor, socket, [this, socket](ACE_Reactor_Mask ready) {
                const bool isWritable = ready == ACE_Event_Handler::WRITE_MASK;
                // A failed send would end the call before it reads a response that has arrived. A
                // paused call must not read.
                if (!isWritable || m_watches.at(socket)->watchesInput())
                    performSocketAction(socket, CURL_CSELECT_IN);
                if (isWritable)
                    performSocketAction(socket, CURL_CSELECT_OUT);
            });
    }
    ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
    if ((what & CURL_POLL_IN) != 0)
        mask |= ACE_Event_Handler::READ_MASK;
    if ((what & CURL_POLL_OUT) != 0)
        mask |= ACE_Event_Handler::WRITE_MASK;
    watch->watchFor(mask);
}

int http_client::implementation::onTimer(CURLM * /*multi*/, long milliseconds, void *self) noexcept
{
    auto *client = static_cast<implementation *>(self);
    if (milliseconds < 0)
        client->m_curlTimer.stop();
    else
        client->m_curlTimer.startOnce(std::chrono::milliseconds(milliseconds));
    return 0;
}

http_client::http_client(ACE_Reactor &reactor)
    : m_implementation(std::make_unique<implementation>(reactor))
{ }

http_client::~http_client() = default;

http_client::call_handle http_client::start(http_call call,
                                            std::shared_ptr<http_call_events> events)
{
    return m_implementation->start(std::move(call), std::move(events));
}

void http_client::resume(call_handle call)
{
    m_implementation->resume(call);
}

void http_client::cancel(call_handle call)
{
    m_implementation->cancel(call);
}

std::size_t http_client::openCalls() const noexcept
{
    return m_implementation->openCalls();
}

} // namespace comfreypass::transport
