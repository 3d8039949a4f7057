#include "sheet/text_validators.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>
#include <system_error>

namespace comfreypass::sheet {

namespace {

constexpr std::string_view lowerCase = "abcdefghijklmnopqrstuvwxyz";
constexpr std::string_view upperCase = "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
constexpr std::string_view digits = "0123456789";
constexpr std::size_t longestName = 63;
constexpr std::size_t longestModel = 128;
constexpr std::size_t longestPath = 1'024;

bool isIn(std::string_view set, char character)
{
    return set.find(character) != std::string_view::npos;
}

bool isLetterOrDigit(char character)
{
    return isIn(lowerCase, character) || isIn(upperCase, character) || isIn(digits, character);
}

/** True if the text starts with a letter or digit and has only those and `others`. */
bool isIdentifier(std::string_view text, std::size_t longest, std::string_view others)
{
    if (text.empty() || text.size() > longest || !isLetterOrDigit(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(), [&](char character) {
        return isLetterOrDigit(character) || isIn(others, character);
    });
}

bool isPort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), port);
    return code == std::errc() && end == text.data() + text.size() && port != 0;
}

bool isSpecifiedIp(std::string_view text, bool expectV6)
{
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(std::string(text), code);
    return !code && address.is_v6() == expectV6 && !address.is_unspecified();
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1)))
        return false;
    const std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return isSpecifiedIp(host.substr(1, host.size() - 2), true);
    return isSpecifiedIp(host, false);
}

bool isPrintableWithoutSpace(char character)
{
    return character > ' ' && character <= '~';
}

} // namespace

const char *validateName(std::string_view text)
{
    return isIdentifier(text, longestName, "._-")
               ? nullptr
               : "a name of up to 63 letters, digits, '.', '_' or '-' that starts with a letter or "
                 "digit";
}

const char *validateModel(std::string_view text)
{
    return isIdentifier(text, longestModel, "._-/:@+")
               ? nullptr
               : "a model name of up to 128 letters, digits or characters of \"._-/:@+\" that "
                 "starts with a letter or digit";
}

const char *validateSha256(std::string_view text)
{
    constexpr std::size_t hexDigits = 64;
    const bool isHex = std::all_of(text.begin(), text.end(), [](char character) {
        return isIn("0123456789abcdef", character);
    });
    return isHex && text.size() == hexDigits ? nullptr
                                             : "a SHA-256 hash of 64 lower-case hexadecimal digits";
}

const char *validateAddress(std::string_view text)
{
    return isAddress(text)
               ? nullptr
               : "ip:port (or [ip]:port for IPv6) that other instances can connect to, not a host "
                 "name, 0.0.0.0 or port 0";
}

const char *validateCurveKey(std::string_view text)
{
    constexpr std::size_t z85Characters = 40;
    const bool isZ85 = std::all_of(text.begin(), text.end(), [](char character) {
        return isLetterOrDigit(character) || isIn(".-:+=^!/*?&<>()[]{}@%$#", character);
    });
    return isZ85 && text.size() == z85Characters ? nullptr : "a CURVE key of 40 Z85 characters";
}

const char *validateMethod(std::string_view text)
{
    constexpr std::array<std::string_view, 6> methods
        = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
    return std::find(methods.begin(), methods.end(), text) != methods.end()
               ? nullptr
               : "GET, HEAD, POST, PUT, PATCH or DELETE";
}

const char *validateOperationPath(std::string_view text)
{
    const char *const expected = "a path that starts with '/', without query, spaces or \"..\", "
                                 "and with '*' only at its end";
    if (text.empty() || text.size() > longestPath || text.front() != '/')
        return expected;
    const bool hasForbidden = std::any_of(text.begin(), text.end(), [](char character) {
        return !isPrintableWithoutSpace(character) || isIn("?#\\", character);
    });
    if (hasForbidden || text.find("..") != std::string_view::npos)
        return expected;
    const std::size_t star = text.find('*');
    return star == std::string_view::npos || star + 1 == text.size() ? nullptr : expected;
}

const char *validateFile(std::string_view text)
{
    return !text.empty() && text.size() <= longestPath && text.find('\0') == std::string_view::npos
               ? nullptr
               : "the path of a file";
}

} // namespace comfreypass::sheet
