// Escaping of identifiers for use in keys, paths and delimited texts.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace jacinthspindle::internal {

// Keeps ASCII letters, digits, '-' and '_', and replaces every other byte by '~' and two lowercase hexadecimal digits,
// so that '.' and '/' can be used as separators. Different inputs give different results. '~' needs no escaping in a
// URL or a header.
std::string escape(std::string_view);

// Reverses escape(). Returns nullopt for a malformed escape sequence or a byte that escape() would have replaced.
std::optional<std::string> unescape(std::string_view);

} // namespace jacinthspindle::internal
