#pragma once

#include "core/result.h"
#include "sheet/settings.h"
#include "transport/curve_settings.h"

namespace comfreypass::node {

/**
 * Reads the CURVE keys for the connections between nodes. All nodes of a fleet share one key pair;
 * the public key is derived from the secret one. `allowed` lists the public keys that may connect;
 * during a rotation it holds the old and the new one.
 *
 * Errors: Io if the key file cannot be read, ValidationFailed if the key is not a Z85 string of 40
 * characters.
 */
core::result<transport::curve_settings>
readPeerKeys(const sheet::settings::peer_key_values &values);

} // namespace comfreypass::node
