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
    /** 0 lets the system choose a port. */
    std::uint16_t port = 0;
    std::uint32_t connectionLimit = 1'024;
    /** Maximum connections from one IP address; 0 for no limit. */
    std::uint32_t connectionLimitPerAddress = 0;
    /** Maximum size of request line and header fields together; larger requests get a 431. */
    std::size_t headerBytes = 65'536;
    /** Maximum size of the request body; larger ones get a 413. */
    std::size_t bodyBytes = 1'000'000;
    /**
     * Maximum memory of all bodies that are being received or processed. Beyond three quarters of
     * it, bodies larger than 65,536 bytes get a 503; beyond all of it, every body does.
     */
    std::size_t totalBodyBytes = 67'108'864;
    /** Idle time after which a connection is closed, unless it is suspended for the handler. */
    std::uint32_t idleSeconds = 30;
    /** Maximum number of bytes buffered for one streamed response. */
    std::size_t relayBufferBytes = 65'536;
    /** TLS key and certificate chain in PEM format; plain HTTP if both are empty. */
    std::string tlsKeyPem;
    std::string tlsCertificatePem;
};

} // namespace comfreypass::transport
