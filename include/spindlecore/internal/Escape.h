// Escaping of identifiers that become part of a key, a path or a text with separators.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace jacinthspindle::internal {

// Keeps letters, digits, '-' and '_' and writes every other byte as '~' and two hexadecimal digits, so that '.' and '/'
// can serve as separators. Different texts have different results. '~' needs no escaping in a URL or a header.
std::string escape(std::string_view);

// Returns nothing for a text that escape() does not produce.
std::optional<std::string> unescape(std::string_view);

} // namespace jacinthspindle::internal
