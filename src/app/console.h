#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

namespace comfreypass::app {

/** Output streams of a command, with optional ANSI colours. */
class console
{
public:
    enum class colour : std::uint8_t { Green, Yellow, Red };

    /** The streams must outlive the console. */
    console(std::ostream &out, std::ostream &err, bool useColours);

    /**
     * Returns a console on the standard streams. Colours are used only if the standard output is a
     * terminal, and neither NO_COLOR nor TERM=dumb is set.
     */
    static console standard();

    /** Returns the stream for results. */
    std::ostream &out() noexcept { return m_out; }

    /** Returns the stream for diagnostics. */
    std::ostream &err() noexcept { return m_err; }

    /** Returns the text wrapped in colour sequences, or unchanged if colours are disabled. */
    std::string coloured(std::string_view text, colour value) const;

private:
    std::ostream &m_out;
    std::ostream &m_err;
    bool m_useColours;
};

} // namespace comfreypass::app
