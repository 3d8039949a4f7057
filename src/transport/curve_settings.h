#pragma once

#include <string>
#include <vector>

namespace comfreypass::transport {

/**
 * CURVE keys, each encoded as 40 characters of Z85.
 *
 * All nodes share one server key pair: nodes are replaced throughout the day, so a list of keys per
 * node would be out of date. Access is controlled by the client keys.
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
