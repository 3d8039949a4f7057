#include "idempotency/request_key.h"

#include <sodium.h>

#include <array>
#include <cstring>
#include <string>

namespace comfreypass::idempotency {

request_key makeRequestKey(const core::team_name &team, std::string_view member,
                           std::string_view callerKey)
{
    // Length prefixes make the encoding unambiguous: different triples give different bytes. A
    // cryptographic hash prevents a caller from choosing a key that collides with another team's.
    std::string bytes = std::to_string(team.text().size()) + ':' + team.text();
    bytes += std::to_string(member.size()) + ':';
    bytes += member;
    bytes += callerKey;

    std::array<unsigned char, sizeof(request_key)> digest{};
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), nullptr,
                       0);
    request_key key;
    std::memcpy(&key.high, digest.data(), sizeof key.high);
    std::memcpy(&key.low, digest.data() + sizeof key.high, sizeof key.low);
    return key;
}

} // namespace comfreypass::idempotency
