// Structured log of a router process: one JSON object per line on standard output. Lines are bounded in number and a
// full pipe never blocks the caller.

#pragma once

#include <spindlecore/spindlecore.h>

#include <atomic>
#include <mutex>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

namespace jacinthspindle::router {

// Info: starts, stops, changes of what the process believes. Decision: one line for a decision about a request.
enum class LineKind : uint8_t { Info, Decision, Warning };

struct LineField {
    using Value = std::variant<std::string, int64_t, double, bool>;

    template <typename T> static Value valueOf(const T& value)
    {
        if constexpr (std::is_same_v<T, bool>)
            return value;
        else if constexpr (std::is_integral_v<T>)
            return static_cast<int64_t>(value);
        else if constexpr (std::is_floating_point_v<T>)
            return static_cast<double>(value);
        else
            return std::string(value);
    }

    template <typename T>
    LineField(const char* fieldName, const T& fieldValue)
        : name(fieldName)
        , value(valueOf(fieldValue))
    {
    }

    const char* name;
    Value value;
};

// Thread-safe.
class Journal {
public:
    // Decision lines beyond this many in a second are counted and left out. A line costs some 10 us, so that the log
    // takes at most about 2 % of a core's time in the worst burst.
    static constexpr uint32_t maxDecisionsPerSecond = 200;

    Journal(const Clock&, std::string host, int descriptor);

    void write(LineKind, std::string_view event, const std::vector<LineField>& fields = {});

    // Lines that were left out since the start, by the bound or because the reader of the output was too slow.
    uint64_t suppressed() const { return m_suppressed; }

private:
    bool isWithinBound(Instant now);

    const Clock& m_clock;
    const std::string m_host;
    const int m_descriptor;
    std::mutex m_mutex;
    Instant m_secondBegan {};
    uint32_t m_inSecond = 0;
    uint64_t m_unreported = 0; // Suppressed lines that no line has mentioned yet.
    std::atomic<uint64_t> m_suppressed { 0 };
    std::string m_unsent; // Rest of a line that the pipe took only in part; the next line follows it.
};

// Milliseconds of a duration, for log fields.
inline int64_t millisecondsOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace jacinthspindle::router
