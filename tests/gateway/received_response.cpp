#include "gateway/received_response.h"

#include "http1/message_parser.h"

#include <cstddef>

namespace comfreypass::tests {

received_response received_response::parse(std::string_view bytes)
{
    constexpr std::size_t maxHeadBytes = 65'536;
    received_response received;
    http1::message_parser parser(
        http1::message_kind::Response, maxHeadBytes,
        [&received](std::string_view piece) { received.body.append(piece); });
    while (!bytes.empty() && !parser.complete()) {
        const auto consumed = parser.parse(bytes);
        received.malformed = !consumed;
        if (!consumed || consumed.value() == 0)
            break;
        bytes.remove_prefix(consumed.value());
    }
    if (parser.hasHead())
        received.status = parser.head().status;
    received.complete = parser.complete() && bytes.empty();
    received.malformed = received.malformed || (parser.complete() && !bytes.empty());
    return received;
}

} // namespace comfreypass::tests
