#pragma once

#include "core/name.h"
#include "core/result.h"
#include "core/time_point.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::wire {

/**
 * Validates the fields of one received message and keeps the first error.
 *
 * An invalid field is replaced by a default value, so that reading continues; the caller rejects
 * the message after reading it. Not thread-safe.
 */
class field_check
{
public:
    const std::optional<core::error> &firstError() const noexcept { return m_error; }

    /** Records an error unless the condition holds; returns the condition. */
    bool require(bool condition, std::string_view field, std::string_view problem);

    /** Reads a name of 1 to `maxNameBytes` bytes without control characters. */
    template<class Name>
    Name name(const std::string &text, std::string_view field)
    {
        require(!text.empty(), field, "is empty");
        return optionalName<Name>(text, field);
    }

    /** Reads a name like name(), but allows an empty one. */
    template<class Name>
    Name optionalName(const std::string &text, std::string_view field)
    {
        return checkName(text, field) ? Name{text} : Name{};
    }

    /** Reads an ip:port (IPv6 in brackets) or an empty string. */
    std::string address(const std::string &text, std::string_view field);

    /** Reads an enumerator from 0 to `last`. */
    template<class Enum>
    Enum enumeration(std::uint32_t value, Enum last, std::string_view field)
    {
        const bool isKnown
            = require(value <= static_cast<std::uint32_t>(last), field, "is not a known value");
        return isKnown ? static_cast<Enum>(value) : Enum{};
    }

    /** Reads a duration of at most `maxMs` milliseconds. */
    core::duration milliseconds(std::uint32_t value, std::uint32_t maxMs, std::string_view field);

    /** Returns whether a list or a string has at most `maxSize` elements or bytes. */
    bool size(std::size_t actual, std::size_t maxSize, std::string_view field);

private:
    bool checkName(const std::string &text, std::string_view field);

    std::optional<core::error> m_error;
};

} // namespace comfreypass::wire
