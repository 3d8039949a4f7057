#include "app/gateway_command.h"

#include "app/exit_code.h"
#include "app/text_file.h"
#include "gateway/node_settings.h"
#include "platform/platform_process.h"
#include "sheet/settings.h"

#include <CLI/CLI.hpp>

#include <filesystem>
#include <ostream>
#include <system_error>
#include <vector>

namespace comfreypass::app {

namespace {

/**
 * Returns the seeds of a settings file if the file was modified since the last call, otherwise an
 * empty list.
 */
class seeds_reader
{
public:
    explicit seeds_reader(std::string path)
        : m_path(std::move(path)), m_modifiedAt(modificationTime())
    { }

    std::vector<std::uint32_t> operator()()
    {
        const auto modifiedAt = modificationTime();
        if (modifiedAt == m_modifiedAt)
            return {};
        m_modifiedAt = modifiedAt;
        const auto text = readTextFile(m_path, sheet::maxSettingsBytes);
        if (!text)
            return {};
        const auto settings = gateway::parseNodeSettings(text.value());
        return settings ? settings.value().seeds : std::vector<std::uint32_t>();
    }

private:
    std::filesystem::file_time_type modificationTime() const
    {
        std::error_code ignored;
        return std::filesystem::last_write_time(m_path, ignored);
    }

    std::string m_path;
    std::filesystem::file_time_type m_modifiedAt;
};

} // namespace

void gateway_command::addOptions(CLI::App &options)
{
    options.add_option("--settings", m_settingsPath, "Settings file of the node")
        ->envname("COMFREYPASS_SETTINGS")
        ->required();
}

int gateway_command::run(console &terminal)
{
    const auto text = readTextFile(m_settingsPath, sheet::maxSettingsBytes);
    if (!text) {
        terminal.err() << describe(text.error()) << '\n';
        return InvalidInput;
    }
    const auto settings = gateway::parseNodeSettings(text.value());
    if (!settings) {
        for (const core::error &each : settings.error())
            terminal.err() << m_settingsPath << ": " << describe(each) << '\n';
        return InvalidInput;
    }
    const core::result<void> ended
        = platform::runNode(settings.value(), seeds_reader(m_settingsPath));
    if (ended)
        return Success;
    terminal.err() << describe(ended.error()) << '\n';
    return Failure;
}

} // namespace comfreypass::app
