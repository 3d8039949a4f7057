#include "sheet/socket_address.h"

#include <charconv>

namespace comfreypass::sheet {

socket_address splitAddress(std::string_view text)
{
    socket_address address;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return address;
    const std::string_view portText = text.substr(colon + 1);
    std::from_chars(portText.data(), portText.data() + portText.size(), address.port);

    std::string_view host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    address.host = host;
    return address;
}

} // namespace comfreypass::sheet
