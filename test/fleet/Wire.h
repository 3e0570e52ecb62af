// What callers, daemons and the stand-ins of endpoints say to each other.

#pragma once

#include <chrono>
#include <string>

namespace jacinthspindle::fleet {

constexpr size_t eventsPerStream = 40;
constexpr std::chrono::milliseconds eventInterval { 50 };
constexpr std::chrono::milliseconds readTime { 60 }; // Between a request and the head of its stream.
constexpr std::chrono::milliseconds actionTime { 20 };
// Path below which a request is an action that may run once; all others are streams that may be resumed.
constexpr const char* actionPrefix = "/loans/";
constexpr const char* streamPrefix = "/ask/";
constexpr size_t zones = 3;

inline std::string zoneOf(size_t number)
{
    return "zone-" + std::to_string(number % zones);
}

inline std::string eventText(const std::string& request, size_t number)
{
    return "id: " + std::to_string(number) + "\ndata: " + request + ' ' + std::to_string(number) + "\n\n";
}

} // namespace jacinthspindle::fleet
