#include "app/text_file.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace comfreypass::app {

core::result<std::string> readTextFile(const std::string &path, std::size_t maxBytes)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return core::error{core::errc::Io, path,
                           std::string("cannot be opened: ") + std::strerror(errno),
                           "check the path and its permissions"};
    }
    std::string content(maxBytes + 1, '\0');
    file.read(content.data(), static_cast<std::streamsize>(content.size()));
    if (file.bad() || (file.fail() && !file.eof())) {
        return core::error{core::errc::Io, path, "cannot be read",
                           "check that it is a regular file"};
    }
    content.resize(static_cast<std::size_t>(file.gcount()));
    return content;
}

} // namespace comfreypass::app
