#include "node/token_hash.h"

#include <sodium.h>

#include <array>

namespace comfreypass::node {

std::string tokenHash(std::string_view token)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char *>(token.data()),
                       token.size());
    std::array<char, crypto_hash_sha256_BYTES * 2 + 1> text{};
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    return text.data();
}

} // namespace comfreypass::node
