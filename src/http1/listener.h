#pragma once

#include "core/result.h"
#include "http1/endpoint.h"
#include "http1/socket_handle.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <cstdint>
#include <functional>

namespace comfreypass::http1 {

/** Accepts TCP connections on a reactor. Not thread-safe. */
class listener : private ACE_Event_Handler
{
public:
    using accept_function = std::function<void(socket_handle connection)>;

    /** The reactor must outlive the listener. */
    listener(ACE_Reactor &reactor, accept_function accepted);
    ~listener() override;
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    /** Starts to listen and returns the bound port. Port 0 lets the kernel choose. Error: Io. */
    core::result<std::uint16_t> listen(const endpoint &local);

    /** Stops listening; accepted connections stay open. */
    void stop() noexcept;

private:
    ACE_HANDLE get_handle() const override { return m_socket.get(); }
    int handle_input(ACE_HANDLE descriptor) override;

    ACE_Reactor &m_reactor;
    accept_function m_accepted;
    socket_handle m_socket;
};

} // namespace comfreypass::http1
