#pragma once

#include <string>
#include <vector>

namespace comfreypass::tests {

/** Header fields after which recipients may see different ends of a message. */
inline const std::vector<std::string> framingsWithoutACertainEnd = {
    "Transfer-Encoding: identity",
    "Transfer-Encoding: gzip",
    "Transfer-Encoding: chunked, identity",
    "Transfer-Encoding: gzip, chunked",
    "Transfer-Encoding: chunked, chunked",
    "Transfer-Encoding: chunked;q=1",
    "Transfer-Encoding: \"chunked\"",
    "Transfer-Encoding: xchunked",
    "Transfer-Encoding: chunked,",
    "Transfer-Encoding: ,chunked",
    "Transfer-Encoding: chunked chunked",
    "Transfer-Encoding:",
    "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
    "Transfer-Encoding: identity\r\nContent-Length: 0",
    "Content-Length: 0\r\nTransfer-Encoding: gzip",
    "Content-Length: 0\r\nTransfer-Encoding: chunked",
    "Transfer_Encoding: chunked",
    "Content_Length: 5",
    "Content-Length: 5, 5",
    "Content-Length: 0\r\nContent-Length: 5",
    "Content-Length: +5",
    "Content-Length: -5",
    "Content-Length: 0x5",
    "Content-Length: 5 5",
    "Content-Length:",
    "Content-Length: 9223372036854775808",
    "Content-Length: 99999999999999999999999",
    "Content-Length : 5",
    " Content-Length: 5",
    "\tTransfer-Encoding: chunked",
    "Other: value\r\n Transfer-Encoding: chunked",
    "Transfer-Encoding:\r\n chunked",
    "Content-Length:\r\n\t5",
    "Other:\r\n \r\n Content-Length: 5",
    "Other:\r\n Content-Length:5",
    "Content-Length: 0\r\n 5",
    "Other: value\nTransfer-Encoding: chunked",
    "Other: value\rTransfer-Encoding: chunked",
};

} // namespace comfreypass::tests
