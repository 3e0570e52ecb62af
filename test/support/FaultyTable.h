// Faults of the protocol tests and the table service that they share.

#pragma once

#include <algorithm>
#include <map>
#include <spindleadapters/ActionCodec.h>
#include <string>
#include <vector>

namespace jacinthspindle::test {

// Sanitizers make a case about ten times as slow and look for other faults than the enumeration does, so that builds
// with them play pairs of faults for one set of capabilities only. All pairs are played in the plain build.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool isSanitized = true;
#else
constexpr bool isSanitized = false;
#endif

enum class Fault : uint8_t {
    None,
    LostRequest, // Not carried out, no answer.
    LostAnswer, // Carried out, no answer.
    Late, // No answer; carried out when late messages are released.
    Doubled, // Carried out and answered twice, the second time when late messages are released.
    Refused, // Certainly not carried out: store unavailable, or connection refused.
    ErrorBefore, // The endpoint answers 500 without an effect.
    ErrorAfter, // The endpoint answers 500 after the effect.
    Damaged, // The row that is read is damaged.
    Pause, // The daemon stops before the step and goes on later.
    PauseAfter, // The daemon stops before it sees the answer.
    Crash, // The daemon dies before the step and restarts as a new incarnation.
    CrashAfter,
    TimeOut, // The deadline passes; the answer comes afterwards.
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
    uint32_t step = 0; // Number of the daemon's output, from 0.
    Fault fault = Fault::None;
};

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
    uint64_t versionStep = 1; // A store may skip version numbers.

private:
    uint64_t versionOf(const std::string& key) const
    {
        auto row = m_rows.find(key);
        return row == m_rows.end() ? 0 : row->second.version;
    }
    std::map<std::string, StoredRow> m_rows;
};

} // namespace jacinthspindle::test
