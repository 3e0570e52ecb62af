// The text that stand-in engines generate.

#pragma once

#include "spindlecore/Ports.h"
#include "spindlecore/internal/Digest.h"

#include <array>
#include <string>

namespace jacinthspindle::standins {

// The text is a function of the prompt, seed, model, version, adapter and position alone, so that any chain that
// regenerates a stream gives the same text.
inline std::string tokenText(const GenerationCall& call, uint32_t position)
{
    static constexpr std::array<const char*, 16> words { "bunting", "canopy", "flag", "string", "school", "lesson",
        "teacher", "lantern", "festival", "garden", "river", "market", "drum", "harvest", "morning", "bridge" };
    internal::DigestVisitor visitor;
    visitor(call.prompt, call.seed, call.model, call.version, call.adapter, position);
    auto number = internal::sha256Prefix64(visitor.hexDigest());
    return std::string(position ? " " : "") + words[number % words.size()]
        + std::to_string(number / words.size() % 100);
}

} // namespace jacinthspindle::standins
