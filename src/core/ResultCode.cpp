// Names, exit statuses and HTTP statuses of the result codes.

#include "spindlecore/ResultCode.h"

#include <array>

namespace jacinthspindle {

namespace {

    // Exit statuses from sysexits(3).
    constexpr int exUsage = 64;
    constexpr int exDataError = 65;
    constexpr int exUnavailable = 69;
    constexpr int exSoftware = 70;
    constexpr int exTempFail = 75;
    constexpr int exConfig = 78;

    struct CodeEntry {
        ResultCode code;
        const char* name;
        int exitStatus;
        int httpStatus;
    };

    constexpr std::array entries {
        CodeEntry { ResultCode::Ok, "ok", 0, 200 },
        CodeEntry { ResultCode::SettingsInvalid, "settings-invalid", exConfig, 500 },
        CodeEntry { ResultCode::UsageInvalid, "usage-invalid", exUsage, 400 },
        CodeEntry { ResultCode::TableInvalid, "table-invalid", exDataError, 400 },
        CodeEntry { ResultCode::TableConflict, "table-conflict", exTempFail, 409 },
        CodeEntry { ResultCode::TableRevisionUnknown, "table-revision-unknown", exDataError, 404 },
        CodeEntry { ResultCode::TableDigestMismatch, "table-digest-mismatch", exDataError, 500 },
        CodeEntry { ResultCode::RequestMalformed, "request-malformed", exDataError, 400 },
        CodeEntry { ResultCode::RequestTooLarge, "request-too-large", exDataError, 413 },
        CodeEntry { ResultCode::RouteUnknown, "route-unknown", exDataError, 404 },
        CodeEntry { ResultCode::WorkspaceUnknown, "workspace-unknown", exDataError, 403 },
        CodeEntry { ResultCode::LimitExceeded, "limit-exceeded", exTempFail, 429 },
        CodeEntry { ResultCode::DeadlineUnreachable, "deadline-unreachable", exTempFail, 503 },
        CodeEntry { ResultCode::NoChain, "no-chain", exUnavailable, 503 },
        CodeEntry { ResultCode::ShuttingDown, "shutting-down", exTempFail, 503 },
        CodeEntry { ResultCode::QueueFull, "queue-full", exTempFail, 503 },
        CodeEntry { ResultCode::CursorInvalid, "cursor-invalid", exDataError, 400 },
        CodeEntry { ResultCode::IdempotencyKeyMissing, "idempotency-key-missing", exDataError, 400 },
        CodeEntry { ResultCode::IdempotencyKeyReused, "idempotency-key-reused", exDataError, 422 },
        CodeEntry { ResultCode::TableNotReady, "table-not-ready", exTempFail, 503 },
        CodeEntry { ResultCode::PromptPartBlocked, "prompt-part-blocked", exTempFail, 503 },
        CodeEntry { ResultCode::Overloaded, "overloaded", exTempFail, 503 },
        CodeEntry { ResultCode::EndpointFailed, "endpoint-failed", exUnavailable, 502 },
        CodeEntry { ResultCode::AttemptsExhausted, "attempts-exhausted", exUnavailable, 502 },
        CodeEntry { ResultCode::DeadlineExceeded, "deadline-exceeded", exUnavailable, 504 },
        CodeEntry { ResultCode::CursorMismatch, "cursor-mismatch", exDataError, 409 },
        CodeEntry { ResultCode::OutcomeUnknown, "outcome-unknown", exUnavailable, 504 },
        CodeEntry { ResultCode::ActionInProgress, "action-in-progress", exTempFail, 409 },
        CodeEntry { ResultCode::EndpointRefused, "endpoint-refused", exUnavailable, 502 },
        CodeEntry { ResultCode::CallerGone, "caller-gone", exUnavailable, 499 },
        CodeEntry { ResultCode::PlatformUnavailable, "platform-unavailable", exUnavailable, 503 },
        CodeEntry { ResultCode::PlatformAnswerMalformed, "platform-answer-malformed", exUnavailable, 502 },
        CodeEntry { ResultCode::PlatformOutcomeUnknown, "platform-outcome-unknown", exUnavailable, 504 },
        CodeEntry { ResultCode::PeerMessageMalformed, "peer-message-malformed", exDataError, 400 },
        CodeEntry { ResultCode::PeerMessageUnauthentic, "peer-message-unauthentic", exDataError, 403 },
        CodeEntry { ResultCode::TraceMalformed, "trace-malformed", exDataError, 500 },
        CodeEntry { ResultCode::ReplayDiverged, "replay-diverged", exSoftware, 500 },
        CodeEntry { ResultCode::TraceIncomplete, "trace-incomplete", exDataError, 500 },
    };

    const CodeEntry& findEntry(ResultCode code)
    {
        for (const auto& it : entries) {
            if (it.code == code)
                return it;
        }
        return entries.front();
    }

} // namespace

const char* resultName(ResultCode code)
{
    return findEntry(code).name;
}

const char* executionName(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not run";
    case Execution::Ran:
        return "ran";
    case Execution::Unknown:
        break;
    }
    return "unknown";
}

int exitStatus(ResultCode code)
{
    return findEntry(code).exitStatus;
}

int httpStatus(ResultCode code)
{
    return findEntry(code).httpStatus;
}

} // namespace jacinthspindle
