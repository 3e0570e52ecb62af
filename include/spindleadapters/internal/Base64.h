// Base64 text of table rows inside JSON.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace jacinthspindle::internal {

std::string encodeBase64(std::string_view bytes);

// Returns nothing on text that is not padded base64 of the standard alphabet.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace jacinthspindle::internal
