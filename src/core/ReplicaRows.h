// Helpers shared by the two source files of TableReplica.

#pragma once

#include "spindlecore/TableReplica.h"

namespace jacinthspindle::internal {

// Maximum number of rows per peer message. 256 rows of at most 700 bytes each fit the message size limit.
constexpr size_t rowsPerMessage = 256;

inline bool isLive(const MemberUpdate& it)
{
    return it.state == MemberState::Alive || it.state == MemberState::Leaving;
}

inline size_t rowCount(const TableDelta& delta)
{
    return delta.workspaces.size() + delta.routes.size() + delta.endpoints.size() + delta.removedWorkspaces.size()
        + delta.removedRoutes.size() + delta.removedEndpoints.size();
}

inline size_t rowCount(const Table& table)
{
    return table.workspaces.size() + table.routes.size() + table.endpoints.size();
}

} // namespace jacinthspindle::internal
