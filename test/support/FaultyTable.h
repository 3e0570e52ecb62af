// Faults that the protocol tests inject, and the fake table service that these tests share.

#pragma once

#include <algorithm>
#include <map>
#include <spindleadapters/ActionCodec.h>
#include <string>
#include <vector>

namespace jacinthspindle::test {

// Sanitizers slow a case down by a factor of about ten and look for other faults than the enumeration does. Sanitizer
// builds therefore run pairs of faults for one set of capabilities only; plain builds run all pairs.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool isSanitized = true;
#else
constexpr bool isSanitized = false;
#endif

enum class Fault : uint8_t {
    None,
    LostRequest, // Not executed, no answer.
    LostAnswer, // Executed, no answer.
    Late, // No answer; executed when delayed messages are delivered.
    Doubled, // Executed and answered at once, and executed again when delayed messages are delivered; the answer
             // arrives twice.
    Refused, // Certainly not executed: table service unavailable, or connection refused.
    ErrorBefore, // The endpoint responds with 500 without an effect.
    ErrorAfter, // The endpoint responds with 500 after the effect.
    Damaged, // The row that is read cannot be decoded.
    Pause, // The daemon pauses before the step and resumes later.
    PauseAfter, // The daemon pauses after the step, before it receives the result.
    Crash, // The daemon crashes before the step and restarts as a new incarnation.
    CrashAfter, // The daemon crashes after the step, before it receives the result.
    TimeOut, // The deadline passes; the result arrives afterwards.
    TimeOutBefore, // The deadline passes before the step.
};
constexpr Fault lastFault = Fault::TimeOutBefore;
inline const char* faultName(Fault fault)
{
    static constexpr const char* names[]
        = { "none", "lost-request", "lost-answer", "late", "doubled", "refused", "error-before", "error-after",
              "damaged", "pause", "pause-after", "crash", "crash-after", "time-out", "time-out-before" };
    return names[static_cast<size_t>(fault)];
}

struct FaultPoint {
    char party = 'A';
    uint32_t step = 0; // Index of the daemon's output, starting at 0.
    Fault fault = Fault::None;
};

// In-memory table service with conditional transactions. Counts reads and writes and detects changes of final action
// rows.
class FakeTable {
public:
    bool commit(const Transaction& transaction)
    {
        for (const auto& it : transaction.preconditions) {
            if (versionOf(it.key) != it.version)
                return false;
        }
        for (const auto& it : transaction.writes) {
            auto& row = m_rows[it.key];
            Reason reason;
            bool isAction = it.key.starts_with("action/") && !row.value.empty();
            auto old = isAction ? decodeActionRow(row.value, reason) : std::nullopt;
            bool isFinal = old && old->state != ActionState::Claimed;
            changedFinalRow = changedFinalRow || (isFinal && row.value != it.value);
            row = { it.key, it.value, row.version + versionStep };
        }
        ++writes;
        return true;
    }
    ReadAnswer read(const std::string& key)
    {
        ++reads;
        auto row = m_rows.find(key);
        return row == m_rows.end() ? ReadAnswer { ReadOutcome::Absent, {} }
                                   : ReadAnswer { ReadOutcome::Found, row->second };
    }
    void erase(const std::string& key) { m_rows.erase(key); }

    uint32_t writes = 0;
    uint32_t reads = 0;
    bool changedFinalRow = false; // A row in the state Done or Void was changed.
    uint64_t versionStep = 1; // Larger than 1: the table service skips version numbers.

private:
    uint64_t versionOf(const std::string& key) const
    {
        auto row = m_rows.find(key);
        return row == m_rows.end() ? 0 : row->second.version;
    }
    std::map<std::string, StoredRow> m_rows;
};

} // namespace jacinthspindle::test
