#include "idempotency/witness_token.h"

#include "core/invariant.h"

#include <sodium.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace comfreypass::idempotency {

namespace {

// Binary format: version, number of witnesses, then for each witness the length of the name, the
// name, and incarnation and epoch as 8 bytes each, little-endian.
constexpr std::uint8_t formatVersion = 1;
constexpr std::size_t numberBytes = 8;
constexpr std::size_t maxBinaryBytes
    = 2 + maxWitnesses * (1 + maxWitnessNameBytes + 2 * numberBytes);
constexpr int base64Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

void appendNumber(std::string &out, std::uint64_t value)
{
    for (std::size_t i = 0; i < numberBytes; ++i)
        out += static_cast<char>((value >> (8 * i)) & 0xff);
}

/** Reads the fields of a token's binary format. */
class token_reader
{
public:
    explicit token_reader(std::string_view bytes) : m_rest(bytes) { }

    std::optional<std::string_view> readBytes(std::size_t count)
    {
        if (m_rest.size() < count)
            return std::nullopt;
        const std::string_view part = m_rest.substr(0, count);
        m_rest.remove_prefix(count);
        return part;
    }

    std::optional<std::uint8_t> readByte()
    {
        const auto part = readBytes(1);
        return part ? std::optional{static_cast<std::uint8_t>(part->front())} : std::nullopt;
    }

    std::optional<std::uint64_t> readNumber()
    {
        const auto part = readBytes(numberBytes);
        if (!part)
            return std::nullopt;
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < numberBytes; ++i)
            value |= std::uint64_t{static_cast<unsigned char>((*part)[i])} << (8 * i);
        return value;
    }

    bool atEnd() const { return m_rest.empty(); }

private:
    std::string_view m_rest;
};

bool isNameCharacter(char character)
{
    return character > ' ' && character < '\x7f';
}

std::optional<witness_ref> readWitness(token_reader &reader)
{
    const auto length = reader.readByte();
    if (!length || *length == 0 || *length > maxWitnessNameBytes)
        return std::nullopt;
    const auto name = reader.readBytes(*length);
    if (!name || !std::all_of(name->begin(), name->end(), isNameCharacter))
        return std::nullopt;
    const auto incarnation = reader.readNumber();
    const auto epoch = reader.readNumber();
    if (!incarnation || !epoch)
        return std::nullopt;
    return witness_ref{{core::node_name{*name}, *incarnation}, *epoch};
}

bool containsNode(const witness_token &token, const core::node_name &name)
{
    return std::any_of(token.witnesses.begin(), token.witnesses.end(),
                       [&](const witness_ref &witness) { return witness.node.name == name; });
}

core::error malformed(std::string_view problem)
{
    return {core::errc::ParseFailed, "witness token", std::string{problem},
            "send the token unchanged, as /v1/addresses gave it"};
}

} // namespace

std::string toText(const witness_token &token)
{
    COMFREYPASS_INVARIANT(token.witnesses.size() <= maxWitnesses);
    std::string bytes;
    bytes += static_cast<char>(formatVersion);
    bytes += static_cast<char>(token.witnesses.size());
    for (const witness_ref &witness : token.witnesses) {
        const std::string &name = witness.node.name.text();
        COMFREYPASS_INVARIANT(!name.empty() && name.size() <= maxWitnessNameBytes);
        bytes += static_cast<char>(name.size());
        bytes += name;
        appendNumber(bytes, witness.node.incarnation);
        appendNumber(bytes, witness.epoch);
    }
    std::string text(sodium_base64_encoded_len(bytes.size(), base64Variant), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
                      base64Variant);
    // The length returned by libsodium includes the terminating null character.
    text.pop_back();
    return text;
}

core::result<witness_token> parseWitnessToken(std::string_view text)
{
    std::string bytes(maxBinaryBytes, '\0');
    std::size_t length = 0;
    const char *end = nullptr;
    const bool decoded
        = sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()), bytes.size(),
                            text.data(), text.size(), nullptr, &length, &end, base64Variant)
          == 0;
    if (!decoded || end != text.data() + text.size())
        return malformed("is not base64url or too long");

    token_reader reader{std::string_view{bytes}.substr(0, length)};
    if (reader.readByte() != formatVersion)
        return malformed("has an unknown version");
    const auto count = reader.readByte();
    if (!count || *count > maxWitnesses)
        return malformed("names too many witnesses");

    witness_token token;
    for (std::uint8_t i = 0; i < *count; ++i) {
        std::optional<witness_ref> witness = readWitness(reader);
        if (!witness)
            return malformed("names a witness wrongly");
        if (containsNode(token, witness->node.name))
            return malformed("names a witness twice");
        token.witnesses.push_back(std::move(*witness));
    }
    if (!reader.atEnd())
        return malformed("is followed by other bytes");
    // libsodium 1.0.18 decodes some bytes above 0x7f as if they were base64 digits.
    if (toText(token) != text)
        return malformed("is not base64url");
    return token;
}

} // namespace comfreypass::idempotency
