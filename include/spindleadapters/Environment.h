// Environment variables as a second source of flags, which TCLAP does not offer.

#pragma once

#include <string>
#include <vector>

namespace jacinthspindle {

// Returns the name of the variable that stands for a flag: "table-service" becomes JACINTHSPINDLE_TABLE_SERVICE.
std::string environmentName(const std::string& flag);

// Returns the arguments with "--flag value" appended for each flag that the environment sets and the arguments do not.
// Must be called before the process starts threads.
std::vector<std::string> withEnvironment(std::vector<std::string> arguments, const std::vector<std::string>& flags);

} // namespace jacinthspindle
