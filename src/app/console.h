#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

namespace comfreypass::app {

/** Where a command writes; colours are used only if the output is a terminal. */
class console
{
public:
    enum class colour : std::uint8_t { Green, Yellow, Red };

    /** The streams must outlive the console. */
    console(std::ostream &out, std::ostream &err, bool useColours);

    /** A console on the standard streams; NO_COLOR and TERM=dumb turn colours off. */
    static console standard();

    /** Results. */
    std::ostream &out() noexcept { return m_out; }

    /** Diagnostics that are not results. */
    std::ostream &err() noexcept { return m_err; }

    /** The text in a colour, or unchanged where colours are off. */
    std::string coloured(std::string_view text, colour value) const;

private:
    std::ostream &m_out;
    std::ostream &m_err;
    bool m_useColours;
};

} // namespace comfreypass::app
