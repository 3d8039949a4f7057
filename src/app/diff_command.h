#pragma once

#include "app/command.h"
#include "app/output_format.h"

#include <string>

namespace comfreypass::app {

/** Shows the effects of replacing one sheet by another. */
class diff_command final : public command
{
public:
    static constexpr const char *footer
        = "Examples:\n"
          "  comfreypass diff examples/acib-rutas.sheet.json examples/split-day.sheet.json\n"
          "  comfreypass diff --output json old.sheet.json new.sheet.json\n"
          "Exit codes:\n"
          "  0  no dangerous change\n"
          "  2  a sheet cannot be read or is invalid\n"
          "  3  at least one dangerous change";

    void addOptions(CLI::App &options) override;
    int run(console &terminal) override;

private:
    std::string m_oldPath;
    std::string m_newPath;
    output_format m_format = output_format::Table;
};

} // namespace comfreypass::app
