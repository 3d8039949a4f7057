#pragma once

#include <string_view>

namespace comfreypass::sheet {

// Each rule returns null for a text that it accepts, else a description of what it accepts, which
// follows "give" in an error message. All are thread-safe.

/** Names of halves, domains, generations, upstreams, teams and nodes. They appear in URL paths,
 * metric labels and logs, so they need no escaping. */
const char *validateName(std::string_view text);

/** Names of models as callers send them; '/' and ':' are common in them. */
const char *validateModel(std::string_view text);

/** SHA-256 in lower-case hexadecimal digits. */
const char *validateSha256(std::string_view text);

/** ip:port with a specified address and port, which other instances can connect to. */
const char *validateAddress(std::string_view text);

/** CURVE key of ZeroMQ in Z85 form. */
const char *validateCurveKey(std::string_view text);

/** HTTP method of a plain service. */
const char *validateMethod(std::string_view text);

/** Path of an operation; '*' is accepted only as the last character. */
const char *validateOperationPath(std::string_view text);

/** Path of a file. */
const char *validateFile(std::string_view text);

} // namespace comfreypass::sheet
