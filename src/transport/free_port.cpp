#include "transport/free_port.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>

namespace comfreypass::transport {

std::uint16_t freePort()
{
    ACE_SOCK_Acceptor acceptor;
    const ACE_INET_Addr anyPort(static_cast<u_short>(0), "127.0.0.1");
    if (acceptor.open(anyPort) != 0)
        return 0;
    ACE_INET_Addr bound;
    const int status = acceptor.get_local_addr(bound);
    acceptor.close();
    return status == 0 ? bound.get_port_number() : 0;
}

} // namespace comfreypass::transport
