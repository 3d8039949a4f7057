#include "gateway/request_digest.h"

#include <sodium.h>

#include <array>
#include <cstring>

namespace comfreypass::gateway {

std::uint64_t requestDigest(const request_identity &identity)
{
    crypto_generichash_state state;
    std::array<unsigned char, crypto_generichash_BYTES_MIN> digest{};
    crypto_generichash_init(&state, nullptr, 0, digest.size());
    for (const std::string_view part :
         {identity.method, identity.host, identity.target, identity.team, identity.body}) {
        const std::uint64_t size = part.size();
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(&size),
                                  sizeof size);
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(part.data()),
                                  part.size());
    }
    crypto_generichash_final(&state, digest.data(), digest.size());
    std::uint64_t result = 0;
    std::memcpy(&result, digest.data(), sizeof result);
    return result;
}

} // namespace comfreypass::gateway
