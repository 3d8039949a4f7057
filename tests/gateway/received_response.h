#pragma once

#include <string>
#include <string_view>

namespace comfreypass::tests {

/** What a caller makes of the bytes that it has received so far. */
struct received_response
{
    /** Parses a response; bytes that are not HTTP leave it incomplete. */
    static received_response parse(std::string_view bytes);

    unsigned status = 0;
    std::string body;
    /** The response is complete by its length or its final chunk, and nothing follows it. */
    bool complete = false;
    bool malformed = false;
};

} // namespace comfreypass::tests
