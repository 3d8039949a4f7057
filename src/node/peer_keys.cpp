#include "node/peer_keys.h"

#include <zmq.h>

#include <array>
#include <fstream>
#include <string>

namespace comfreypass::node {

namespace {

constexpr std::size_t keyCharacters = 40;

core::result<std::string> readSecret(const sheet::settings::peer_key_values &values)
{
    if (!values.secretKey.empty())
        return values.secretKey;
    std::ifstream file(values.secretKeyFile);
    std::string secret;
    if (!(file >> secret))
        return core::error{core::errc::Io, values.secretKeyFile, "cannot read the key file", ""};
    return secret;
}

} // namespace

core::result<transport::curve_settings> readPeerKeys(const sheet::settings::peer_key_values &values)
{
    const core::result<std::string> secret = readSecret(values);
    if (!secret)
        return secret.error();
    std::array<char, keyCharacters + 1> publicKey{};
    const bool valid = secret.value().size() == keyCharacters
                       && zmq_curve_public(publicKey.data(), secret.value().c_str()) == 0;
    // The error omits the value, because it may be a mistyped secret.
    if (!valid)
        return core::error{core::errc::ValidationFailed, "/peer_keys",
                           "the secret key is not a Z85 string of 40 characters",
                           "generate a key with zmq_curve_keypair"};

    transport::curve_settings keys;
    keys.serverPublicKey = publicKey.data();
    keys.serverSecretKey = secret.value();
    keys.clientPublicKey = publicKey.data();
    keys.clientSecretKey = secret.value();
    keys.allowedClients = values.allowed;
    return keys;
}

} // namespace comfreypass::node
