// Trace payloads of Membership, TableReplica and LimitShares.

#pragma once

#include "spindlecore/spindlecore.h"

#include <optional>
#include <string>
#include <string_view>

namespace jacinthspindle {

std::string encodeMembershipConfig(const MembershipConfig&);
std::string encodeMembershipInput(const MembershipInput&);
std::string encodeMembershipOutput(const MembershipOutput&);
std::string encodeReplicaConfig(const TableReplicaConfig&);
std::string encodeReplicaInput(const ReplicaInput&);
std::string encodeReplicaOutput(const ReplicaOutput&);
std::string encodeLimitConfig(const LimitSharesConfig&);
std::string encodeLimitInput(const LimitInput&);
std::string encodeLimitOutput(const LimitOutput&);

// Each decoder returns nothing and sets the reason (TraceMalformed) on bytes that do not hold exactly one value.
std::optional<MembershipConfig> decodeMembershipConfig(std::string_view bytes, Reason&);
std::optional<MembershipInput> decodeMembershipInput(std::string_view bytes, Reason&);
std::optional<MembershipOutput> decodeMembershipOutput(std::string_view bytes, Reason&);
std::optional<TableReplicaConfig> decodeReplicaConfig(std::string_view bytes, Reason&);
std::optional<ReplicaInput> decodeReplicaInput(std::string_view bytes, Reason&);
std::optional<ReplicaOutput> decodeReplicaOutput(std::string_view bytes, Reason&);
std::optional<LimitSharesConfig> decodeLimitConfig(std::string_view bytes, Reason&);
std::optional<LimitInput> decodeLimitInput(std::string_view bytes, Reason&);
std::optional<LimitOutput> decodeLimitOutput(std::string_view bytes, Reason&);

// Each returns the value with its table replaced by one that only names revision and digest. Traces hold references,
// because a whole table of the target size is about a megabyte and the changes that lead to it are recorded anyway; a
// replay takes the rows from the replayed TableReplica.
CoreInput withTableReference(const CoreInput&);
LimitInput withTableReference(const LimitInput&);
ReplicaOutput withTableReference(const ReplicaOutput&);

// Whether a table is a reference, that is, has a revision and no rows.
bool isTableReference(const Table&);

} // namespace jacinthspindle
