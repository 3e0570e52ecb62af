// Which numbers are statuses of HTTP answers. Servers in trouble write others, as 000, which tell nothing about the
// request.

#pragma once

namespace jacinthspindle::internal {

// Whether the number is the status of a whole answer.
inline bool isAnswerStatus(unsigned status)
{
    return status >= 200 && status < 600;
}

// Whether an answer follows the one with this status. A change of protocol (101) is never asked for.
inline bool isInterimStatus(unsigned status)
{
    return status >= 100 && status < 200 && status != 101;
}

} // namespace jacinthspindle::internal
