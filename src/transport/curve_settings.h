#pragma once

#include <string>
#include <vector>

namespace comfreypass::transport {

/**
 * CURVE keys in the Z85 form of 40 characters.
 *
 * All nodes listen with the same server key pair, because nodes are replaced all day and a list of
 * keys by node would be out of date. Who may connect is decided by the client keys.
 */
struct curve_settings
{
    std::string serverPublicKey;
    std::string serverSecretKey;
    std::string clientPublicKey;
    std::string clientSecretKey;
    /** Client keys whose connections are accepted. */
    std::vector<std::string> allowedClients;
};

} // namespace comfreypass::transport
