// Numeric result codes and the reason for a failure. docs/errors.md lists all codes.

#pragma once

#include <cstdint>
#include <string>

namespace jacinthspindle {

enum class ResultCode : uint16_t {
    Ok = 0,

    SettingsInvalid = 100,
    UsageInvalid = 101,

    TableInvalid = 200,
    TableConflict = 201,
    TableRevisionUnknown = 202,
    TableDigestMismatch = 203,

    RequestMalformed = 300,
    RequestTooLarge = 301,
    RouteUnknown = 302,
    WorkspaceUnknown = 303,
    LimitExceeded = 304,
    DeadlineUnreachable = 305,
    NoChain = 306,
    ShuttingDown = 307,
    QueueFull = 308,
    CursorInvalid = 309,
    IdempotencyKeyMissing = 310,
    IdempotencyKeyReused = 311,
    TableNotReady = 312,
    PromptPartBlocked = 313,
    Overloaded = 314,

    EndpointFailed = 400,
    AttemptsExhausted = 401,
    DeadlineExceeded = 402,
    CursorMismatch = 403,
    OutcomeUnknown = 404,
    ActionInProgress = 405,
    EndpointRefused = 406,
    CallerGone = 407,

    PlatformUnavailable = 500,
    PlatformAnswerMalformed = 501,
    PlatformOutcomeUnknown = 502,
    PeerMessageMalformed = 503,
    PeerMessageUnauthentic = 504,

    TraceMalformed = 600,
    ReplayDiverged = 601,
    TraceIncomplete = 602,
};

// Whether an endpoint executed the work of a request. NotRun also guarantees that it will not be executed later.
enum class Execution : uint8_t { NotRun, Ran, Unknown };

// Why an operation failed. Classes whose functions return std::optional store the reason of the last failure.
struct Reason {
    ResultCode code = ResultCode::Ok;
    std::string text;
};

// Returns the short, stable name of a code, for example "table-conflict".
const char* resultName(ResultCode);

// Returns "not run", "ran" or "unknown".
const char* executionName(Execution);

// Returns the process exit status for a code, from sysexits(3) where one applies.
int exitStatus(ResultCode);

// Returns the HTTP status of the response that reports the code to a caller.
int httpStatus(ResultCode);

} // namespace jacinthspindle
