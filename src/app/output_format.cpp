#include "app/output_format.h"

#include <CLI/CLI.hpp>

#include <map>
#include <string>

namespace comfreypass::app {

void addOutputOption(CLI::App &options, output_format &target)
{
    static const std::map<std::string, output_format> names
        = {{"table", output_format::Table}, {"json", output_format::Json}};
    options.add_option("--output", target, "Output format: table (default) or json")
        ->transform(CLI::CheckedTransformer(names))
        ->option_text("table|json");
}

} // namespace comfreypass::app
