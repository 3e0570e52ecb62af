// msgpack encoding of any type that lists its members in fields(). For the sources of this library only: it includes
// msgpack.hpp, which is slow to compile.

#pragma once

#include "spindlecore/ResultCode.h"

#include <chrono>
#include <limits>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

namespace jacinthspindle::internal {

// Thrown inside the decoder and turned into a Reason at its border.
class DecodeError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

template <typename Value> struct IsVector : std::false_type {
};
template <typename Item> struct IsVector<std::vector<Item>> : std::true_type {
};
template <typename Value> struct IsOptional : std::false_type {
};
template <typename Item> struct IsOptional<std::optional<Item>> : std::true_type {
};
template <typename Value> struct IsSharedConst : std::false_type {
};
template <typename Item> struct IsSharedConst<std::shared_ptr<const Item>> : std::true_type {
};
template <typename Value> struct IsVariant : std::false_type {
};
template <typename... Items> struct IsVariant<std::variant<Items...>> : std::true_type {
};
template <typename Value> struct IsDuration : std::false_type {
};
template <typename Rep, typename Period> struct IsDuration<std::chrono::duration<Rep, Period>> : std::true_type {
};
template <typename Value> struct IsTimePoint : std::false_type {
};
template <typename Clock, typename Step> struct IsTimePoint<std::chrono::time_point<Clock, Step>> : std::true_type {
};

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename Value> void packValue(Packer& packer, const Value& value)
{
    if constexpr (std::is_enum_v<Value>)
        packer.pack(static_cast<uint64_t>(value));
    else if constexpr (std::is_arithmetic_v<Value>)
        packer.pack(value);
    else if constexpr (std::is_same_v<Value, std::string>) {
        packer.pack_bin(static_cast<uint32_t>(value.size()));
        packer.pack_bin_body(value.data(), static_cast<uint32_t>(value.size()));
    } else if constexpr (IsVector<Value>::value) {
        packer.pack_array(static_cast<uint32_t>(value.size()));
        for (const auto& it : value)
            packValue(packer, it);
    } else if constexpr (IsOptional<Value>::value || IsSharedConst<Value>::value) {
        if (!value) {
            packer.pack_nil();
            return;
        }
        packValue(packer, *value);
    } else if constexpr (IsDuration<Value>::value)
        packer.pack(static_cast<int64_t>(value.count()));
    else if constexpr (IsTimePoint<Value>::value)
        packValue(packer, value.time_since_epoch());
    else if constexpr (IsVariant<Value>::value) {
        packer.pack_array(2);
        packer.pack(static_cast<uint32_t>(value.index()));
        std::visit([&](const auto& it) { packValue(packer, it); }, value);
    } else {
        uint32_t n = 0;
        Value::fields(value, [&](const auto&... members) { n = sizeof...(members); });
        packer.pack_array(n);
        Value::fields(value, [&](const auto&... members) { (packValue(packer, members), ...); });
    }
}

template <typename Value> void unpackValue(const msgpack::object& object, Value& value);

inline const msgpack::object_array& arrayOf(const msgpack::object& object)
{
    if (object.type != msgpack::type::ARRAY)
        throw DecodeError("expected an array");
    return object.via.array;
}

template <typename Variant, size_t... Index>
void unpackAlternative(const msgpack::object& object, size_t index, Variant& value, std::index_sequence<Index...>)
{
    bool isKnown = ((index == Index ? (unpackValue(object, value.template emplace<Index>()), true) : false) || ...);
    if (!isKnown)
        throw DecodeError("unknown alternative " + std::to_string(index));
}

template <typename Value> void unpackNumber(const msgpack::object& object, Value& value)
{
    if constexpr (std::is_floating_point_v<Value>) {
        // The packer stores whole floating-point numbers as integers.
        if (object.type == msgpack::type::POSITIVE_INTEGER)
            value = static_cast<Value>(object.via.u64);
        else if (object.type == msgpack::type::NEGATIVE_INTEGER)
            value = static_cast<Value>(object.via.i64);
        else if (object.type == msgpack::type::FLOAT64 || object.type == msgpack::type::FLOAT32)
            value = static_cast<Value>(object.via.f64);
        else
            throw DecodeError("expected a floating-point number");
    } else if constexpr (std::is_same_v<Value, bool>) {
        if (object.type != msgpack::type::BOOLEAN)
            throw DecodeError("expected a boolean");
        value = object.via.boolean;
    } else {
        bool isPositive = object.type == msgpack::type::POSITIVE_INTEGER;
        if (isPositive && object.via.u64 <= static_cast<uint64_t>(std::numeric_limits<Value>::max())) {
            value = static_cast<Value>(object.via.u64);
            return;
        }
        bool isNegative = std::is_signed_v<Value> && object.type == msgpack::type::NEGATIVE_INTEGER;
        if (!isNegative || object.via.i64 < static_cast<int64_t>(std::numeric_limits<Value>::min()))
            throw DecodeError("integer is missing or out of range");
        value = static_cast<Value>(object.via.i64);
    }
}

template <typename Value> void unpackFields(const msgpack::object& object, Value& value)
{
    const auto& array = arrayOf(object);
    Value::fields(value, [&](auto&... members) {
        if (array.size != sizeof...(members))
            throw DecodeError(
                "expected " + std::to_string(sizeof...(members)) + " members, found " + std::to_string(array.size));
        const msgpack::object* next = array.ptr;
        (unpackValue(*next++, members), ...);
    });
}

template <typename Value> void unpackValue(const msgpack::object& object, Value& value)
{
    if constexpr (std::is_enum_v<Value>) {
        std::underlying_type_t<Value> number {};
        unpackNumber(object, number);
        value = static_cast<Value>(number);
    } else if constexpr (std::is_arithmetic_v<Value>)
        unpackNumber(object, value);
    else if constexpr (std::is_same_v<Value, std::string>) {
        if (object.type != msgpack::type::BIN)
            throw DecodeError("expected bytes");
        value.assign(object.via.bin.ptr, object.via.bin.size);
    } else if constexpr (IsVector<Value>::value) {
        const auto& array = arrayOf(object);
        value.clear();
        value.reserve(array.size);
        for (uint32_t i = 0; i < array.size; ++i)
            unpackValue(array.ptr[i], value.emplace_back());
    } else if constexpr (IsOptional<Value>::value) {
        value.reset();
        if (!object.is_nil())
            unpackValue(object, value.emplace());
    } else if constexpr (IsSharedConst<Value>::value) {
        value.reset();
        if (object.is_nil())
            return;
        auto item = std::make_shared<std::remove_const_t<typename Value::element_type>>();
        unpackValue(object, *item);
        value = std::move(item);
    } else if constexpr (IsDuration<Value>::value) {
        int64_t count = 0;
        unpackNumber(object, count);
        value = Value(count);
    } else if constexpr (IsTimePoint<Value>::value) {
        typename Value::duration sinceEpoch {};
        unpackValue(object, sinceEpoch);
        value = Value(sinceEpoch);
    } else if constexpr (IsVariant<Value>::value) {
        const auto& array = arrayOf(object);
        if (array.size != 2)
            throw DecodeError("expected a pair");
        uint32_t index = 0;
        unpackNumber(array.ptr[0], index);
        unpackAlternative(array.ptr[1], index, value, std::make_index_sequence<std::variant_size_v<Value>>());
    } else
        unpackFields(object, value);
}

template <typename Value> std::string encodeFields(const Value& value)
{
    msgpack::sbuffer buf;
    Packer packer(buf);
    packValue(packer, value);
    return { buf.data(), buf.size() };
}

// Bounds on what a decoder allocates for a hostile message: items per array, bytes per string and nesting.
constexpr size_t maxDecodedItems = 1 << 20;
constexpr size_t maxDecodedBytes = 64 << 20;
constexpr size_t maxDecodedDepth = 24;

// Decodes one value that starts at offset and moves offset behind it. Throws DecodeError.
template <typename Value> Value decodeFields(std::string_view bytes, size_t& offset)
{
    Value value {};
    try {
        msgpack::unpack_limit limit(
            maxDecodedItems, maxDecodedItems, maxDecodedBytes, maxDecodedBytes, maxDecodedBytes, maxDecodedDepth);
        auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        unpackValue(handle.get(), value);
    } catch (const DecodeError&) {
        throw;
    } catch (const std::exception& error) {
        throw DecodeError(error.what());
    }
    return value;
}

// Decodes bytes that hold exactly one value. Returns nothing and sets the reason with the given code otherwise.
template <typename Value> std::optional<Value> decodeWhole(std::string_view bytes, ResultCode code, Reason& reason)
{
    size_t offset = 0;
    try {
        auto value = decodeFields<Value>(bytes, offset);
        if (offset == bytes.size())
            return value;
        reason = { code, std::to_string(bytes.size() - offset) + " bytes follow the value" };
    } catch (const DecodeError& error) {
        reason = { code, error.what() };
    }
    return std::nullopt;
}

} // namespace jacinthspindle::internal
