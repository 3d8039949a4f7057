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
 * Checks the fields of one received message against their ranges and keeps the first error.
 *
 * A field outside its range yields a harmless value, so that reading goes on; the message is
 * refused at its end. Not thread-safe.
 */
class field_check
{
public:
    const std::optional<core::error> &firstError() const noexcept { return m_error; }

    /** Records an error unless the condition holds. Returns the condition. */
    bool require(bool condition, std::string_view field, std::string_view problem);

    /** A name of 1 to `maxNameBytes` bytes without control characters. */
    template<class Name>
    Name name(const std::string &text, std::string_view field)
    {
        require(!text.empty(), field, "is empty");
        return optionalName<Name>(text, field);
    }

    /** As name(), but may be empty. */
    template<class Name>
    Name optionalName(const std::string &text, std::string_view field)
    {
        return checkName(text, field) ? Name{text} : Name{};
    }

    /** ip:port (IPv6 in brackets), or empty. */
    std::string address(const std::string &text, std::string_view field);

    /** An enumerator from 0 to `last`. */
    template<class Enum>
    Enum enumeration(std::uint32_t value, Enum last, std::string_view field)
    {
        const bool isKnown
            = require(value <= static_cast<std::uint32_t>(last), field, "is no known value");
        return isKnown ? static_cast<Enum>(value) : Enum{};
    }

    /** A duration of at most `maxMs` milliseconds. */
    core::duration milliseconds(std::uint32_t value, std::uint32_t maxMs, std::string_view field);

    /** True if a list or a string is not too long. */
    bool size(std::size_t actual, std::size_t maxSize, std::string_view field);

private:
    bool checkName(const std::string &text, std::string_view field);

    std::optional<core::error> m_error;
};

} // namespace comfreypass::wire
