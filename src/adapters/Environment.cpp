// Lookup of settings in the environment.

#include "spindleadapters/Environment.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace jacinthspindle {

std::string environmentName(const std::string& flag)
{
    std::string name = "JACINTHSPINDLE_";
    for (unsigned char c : flag)
        name += c == '-' ? '_' : static_cast<char>(std::toupper(c));
    return name;
}

std::vector<std::string> withEnvironment(std::vector<std::string> arguments, const std::vector<std::string>& flags)
{
    for (const auto& flag : flags) {
        auto option = "--" + flag;
        bool isGiven = std::any_of(arguments.begin(), arguments.end(),
            [&](const std::string& it) { return it == option || it.rfind(option + "=", 0) == 0; });
        // No other thread exists yet that could change the environment.
        const char* value = std::getenv(environmentName(flag).c_str()); // NOLINT(concurrency-mt-unsafe)
        if (isGiven || !value)
            continue;
        arguments.push_back(option);
        arguments.emplace_back(value);
    }
    return arguments;
}

} // namespace jacinthspindle
