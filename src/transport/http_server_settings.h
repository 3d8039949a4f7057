#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace comfreypass::transport {

/** Settings of an http_server. */
struct http_server_settings
{
    /** Numeric IPv4 or IPv6 address. */
    std::string address = "127.0.0.1";
    /** 0 lets the system choose. */
    std::uint16_t port = 0;
    std::uint32_t connectionLimit = 1'024;
    /** Connections from one IP address; 0 is without limit. */
    std::uint32_t connectionLimitPerAddress = 0;
    /** Bound on request line and header fields together; a larger request is refused (431). */
    std::size_t headerBytes = 65'536;
    /** Bound on the request body; a larger one is refused (413). */
    std::size_t bodyBytes = 1'000'000;
    /** A connection without traffic is closed after this time, unless the handler holds it. */
    std::uint32_t idleSeconds = 30;
    /** Bound on the bytes of one streamed answer that wait for the caller. */
    std::size_t relayBufferBytes = 65'536;
    /** TLS key and certificate chain in PEM format; plain HTTP if both are empty. */
    std::string tlsKeyPem;
    std::string tlsCertificatePem;
};

} // namespace comfreypass::transport
