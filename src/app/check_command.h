#pragma once

#include "app/command.h"
#include "app/document_check.h"
#include "app/output_format.h"

#include <string>
#include <vector>

namespace comfreypass::app {

/** Validates sheets, node settings, and the gateway's settings and configuration. */
class check_command final : public command
{
public:
    static constexpr const char *footer
        = "Settings that are passed together with a sheet are checked against it and against each\n"
          "other. The gateway's files need --kind: its settings, or the operators' configuration "
          "in\n"
          "the format of its source. For a configuration, the first error or all contradictions\n"
          "are shown.\n"
          "Examples:\n"
          "  comfreypass check examples/acib-rutas.sheet.json examples/entry-1.settings.json\n"
          "  comfreypass check --kind settings --output json entry-1.json\n"
          "  comfreypass check --kind configuration configuration.json\n"
          "Exit codes:\n"
          "  0  no errors (there may be warnings)\n"
          "  2  at least one error, or a file that cannot be read";

    void addOptions(CLI::App &options) override;
    int run(console &terminal) override;

private:
    std::vector<std::string> m_paths;
    document_kind m_kind = document_kind::Auto;
    output_format m_format = output_format::Table;
};

} // namespace comfreypass::app
