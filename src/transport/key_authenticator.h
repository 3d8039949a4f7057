#pragma once

#include "core/result.h"
#include "transport/zmq_io.h"
#include "transport/zmq_watch.h"

#include <zmq.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <span>
#include <string>

class ACE_Reactor;

namespace comfreypass::transport {

/**
 * Authenticates CURVE clients of a ZeroMQ context against a list of allowed keys. Implements the
 * handler of the ZeroMQ Authentication Protocol (RFC 27/ZAP) on the reactor. Not thread-safe.
 */
class key_authenticator
{
public:
    /** Increments `refusedCount` for each refused connection; it must outlive this object. */
    key_authenticator(ACE_Reactor &reactor, zmq::context_t &context, std::uint64_t &refusedCount);

    /** Starts serving requests. Errors: InvalidArgument for a key that is not 40 Z85 characters. */
    core::result<void> open(std::span<const std::string> allowedClients);

private:
    void processRequests();
    bool isAllowed(std::size_t count) const;

    ACE_Reactor &m_reactor;
    std::uint64_t &m_refusedCount;
    /** Binary keys of 32 bytes. */
    std::set<std::string, std::less<>> m_allowed;
    zmq_frames m_frames;
    zmq::socket_t m_socket;
    std::unique_ptr<zmq_watch> m_watch;
};

} // namespace comfreypass::transport
