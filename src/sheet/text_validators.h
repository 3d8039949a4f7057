#pragma once

#include <string_view>

namespace comfreypass::sheet {

// Each function returns null for a valid text, otherwise a description of the expected text, which
// follows "use" in an error message. All functions are thread-safe.

/** Validates a name of a half, domain, generation, upstream, team or node. Names appear in URL
 * paths, metric labels and logs, so only characters that need no escaping are valid. */
const char *validateName(std::string_view text);

/** Validates a model name as callers send it; '/' and ':' are common in model names. */
const char *validateModel(std::string_view text);

/** Validates a SHA-256 hash in lower-case hexadecimal digits. */
const char *validateSha256(std::string_view text);

/** Validates an ip:port with a specified address and port that other instances can connect to. */
const char *validateAddress(std::string_view text);

/** Validates a ZeroMQ CURVE key in Z85 encoding. */
const char *validateCurveKey(std::string_view text);

/** Validates the HTTP method of an operation of a plain service. */
const char *validateMethod(std::string_view text);

/** Validates the path of an operation; '*' is valid only as the last character. */
const char *validateOperationPath(std::string_view text);

/** Validates a file path. */
const char *validateFile(std::string_view text);

} // namespace comfreypass::sheet
