// msgpack codecs of the inputs and outputs of Membership, TableReplica and LimitShares.

#include "spindleadapters/PeerTraceCodec.h"

#include "spindleadapters/internal/FieldCodec.h"

namespace jacinthspindle {

#define JACINTHSPINDLE_TRACE_CODEC(name, Type)                                                                         \
    std::string encode##name(const Type& value)                                                                        \
    {                                                                                                                  \
        return internal::encodeFields(value);                                                                          \
    }                                                                                                                  \
    std::optional<Type> decode##name(std::string_view bytes, Reason& reason)                                           \
    {                                                                                                                  \
        return internal::decodeWhole<Type>(bytes, ResultCode::TraceMalformed, reason);                                 \
    }

JACINTHSPINDLE_TRACE_CODEC(MembershipConfig, MembershipConfig)
JACINTHSPINDLE_TRACE_CODEC(MembershipInput, MembershipInput)
JACINTHSPINDLE_TRACE_CODEC(MembershipOutput, MembershipOutput)
JACINTHSPINDLE_TRACE_CODEC(ReplicaConfig, TableReplicaConfig)
JACINTHSPINDLE_TRACE_CODEC(ReplicaInput, ReplicaInput)
JACINTHSPINDLE_TRACE_CODEC(ReplicaOutput, ReplicaOutput)
JACINTHSPINDLE_TRACE_CODEC(LimitConfig, LimitSharesConfig)
JACINTHSPINDLE_TRACE_CODEC(LimitInput, LimitInput)
JACINTHSPINDLE_TRACE_CODEC(LimitOutput, LimitOutput)

namespace {

    std::shared_ptr<const Table> referenceTo(const std::shared_ptr<const Table>& table)
    {
        if (!table)
            return nullptr;
        auto reference = std::make_shared<Table>();
        reference->revision = table->revision;
        reference->digest = table->digest;
        return reference;
    }

    template <typename Alternative, typename Variant> Variant referenced(const Variant& value)
    {
        const auto* holder = std::get_if<Alternative>(&value);
        if (!holder)
            return value;
        Alternative copy = *holder;
        copy.table = referenceTo(holder->table);
        return copy;
    }

} // namespace

CoreInput withTableReference(const CoreInput& input)
{
    return referenced<TableAdopted>(input);
}

LimitInput withTableReference(const LimitInput& input)
{
    return referenced<LimitTable>(input);
}

ReplicaOutput withTableReference(const ReplicaOutput& output)
{
    return referenced<Adopted>(output);
}

bool isTableReference(const Table& table)
{
    return table.revision && table.workspaces.empty() && table.routes.empty() && table.endpoints.empty();
}

} // namespace jacinthspindle
