// Helpers that the two sources of TableReplica share.

#pragma once

#include "spindlecore/TableReplica.h"

namespace jacinthspindle::internal {

// Rows per message; 256 rows of at most 700 bytes stay below the bound of a message.
constexpr size_t rowsPerMessage = 256;

inline bool isLive(const MemberUpdate& it)
{
    return it.state == MemberState::Alive || it.state == MemberState::Leaving;
}

inline size_t rowsOf(const TableDelta& delta)
{
    return delta.workspaces.size() + delta.routes.size() + delta.endpoints.size() + delta.removedWorkspaces.size()
        + delta.removedRoutes.size() + delta.removedEndpoints.size();
}

inline size_t rowsOf(const Table& table)
{
    return table.workspaces.size() + table.routes.size() + table.endpoints.size();
}

} // namespace jacinthspindle::internal
