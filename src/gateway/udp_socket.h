#pragma once

#include "core/result.h"
#include "http1/endpoint.h"
#include "http1/socket_handle.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <functional>
#include <string_view>

namespace comfreypass::gateway {

/** A UDP socket on a reactor. Not thread-safe. */
class udp_socket : private ACE_Event_Handler
{
public:
    /** Receives one datagram; the view is valid during the call. */
    using receive_function = std::function<void(const http1::endpoint &from, std::string_view)>;

    /** The reactor must outlive the socket. */
    udp_socket(ACE_Reactor &reactor, receive_function received);
    ~udp_socket() override;
    udp_socket(const udp_socket &) = delete;
    udp_socket &operator=(const udp_socket &) = delete;

    /** Binds the socket and starts to receive. Error: Io. */
    core::result<void> open(const http1::endpoint &local);

    /** Sends a datagram; it is dropped silently if the kernel does not accept it. */
    void send(const http1::endpoint &target, std::string_view bytes);

private:
    ACE_HANDLE get_handle() const override { return m_socket.get(); }
    int handle_input(ACE_HANDLE descriptor) override;

    ACE_Reactor &m_reactor;
    receive_function m_received;
    http1::socket_handle m_socket;
};

} // namespace comfreypass::gateway
