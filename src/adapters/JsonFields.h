// Strict access to members of JSON values from outside. nlohmann::json converts between kinds of numbers silently;
// these functions throw instead. For the sources of this library only: json.hpp is slow to compile.

#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

namespace jacinthspindle::internal {

using Json = nlohmann::json;

// Thrown inside a decoder and turned into an outcome at its border.
class JsonError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

inline const Json& memberOf(const Json& object, const char* name)
{
    if (!object.is_object())
        throw JsonError("expected an object");
    auto it = object.find(name);
    if (it == object.end())
        throw JsonError(std::string("member is missing: ") + name);
    return *it;
}

template <typename Number> Number toNumber(const Json& value)
{
    static_assert(std::is_unsigned_v<Number>);
    if (!value.is_number_unsigned() || value.get<uint64_t>() > std::numeric_limits<Number>::max())
        throw JsonError("expected an integer that is not negative and in range");
    return static_cast<Number>(value.get<uint64_t>());
}

template <typename Number> Number numberOf(const Json& object, const char* name)
{
    return toNumber<Number>(memberOf(object, name));
}

inline double realOf(const Json& object, const char* name)
{
    const auto& value = memberOf(object, name);
    if (!value.is_number())
        throw JsonError(std::string("expected a number: ") + name);
    return value.get<double>();
}

inline std::string textOf(const Json& object, const char* name)
{
    const auto& value = memberOf(object, name);
    if (!value.is_string())
        throw JsonError(std::string("expected a text: ") + name);
    return value.get<std::string>();
}

inline bool flagOf(const Json& object, const char* name)
{
    const auto& value = memberOf(object, name);
    if (!value.is_boolean())
        throw JsonError(std::string("expected true or false: ") + name);
    return value.get<bool>();
}

inline const Json& listOf(const Json& object, const char* name)
{
    const auto& value = memberOf(object, name);
    if (!value.is_array())
        throw JsonError(std::string("expected a list: ") + name);
    return value;
}

// Parses the text and returns what decode makes of it; nothing when either throws.
template <typename Decode>
auto decodeJson(std::string_view text, Decode&& decode) -> std::optional<decltype(decode(Json()))>
{
    try {
        return decode(Json::parse(text));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

// Returns nothing when a text is not UTF-8.
inline std::optional<std::string> dumpJson(const Json& value)
{
    try {
        return value.dump();
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace jacinthspindle::internal
