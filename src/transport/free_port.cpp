#include "transport/free_port.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>

namespace comfreypass::transport {

std::uint16_t freePort()
{
    ACE_SOCK_Acceptor acceptor;
    const ACE_INET_Addr any(static_cast<u_short>(0), "127.0.0.1");
    if (acceptor.open(any) != 0)
        return 0;
    ACE_INET_Addr bound;
    const int found = acceptor.get_local_addr(bound);
    acceptor.close();
    return found == 0 ? bound.get_port_number() : 0;
}

} // namespace comfreypass::transport
