// Public interface of LimitShares; the logic is in LimitState.h and LimitReports.cpp.

#include "spindlecore/LimitShares.h"

#include "LimitState.h"

namespace jacinthspindle {

LimitShares::LimitShares(LimitSharesConfig config, LimitFault fault)
    : m_state(std::make_unique<State>(std::move(config), fault))
{
}

LimitShares::~LimitShares() = default;
LimitShares::LimitShares(LimitShares&&) noexcept = default;
LimitShares& LimitShares::operator=(LimitShares&&) noexcept = default;

void LimitShares::apply(Instant now, const LimitInput& input, std::vector<LimitOutput>& out)
{
    std::visit([&](const auto& it) { m_state->on(now, it, out); }, input);
}

uint32_t LimitShares::share(Instant now, const WorkspaceId& id) const
{
    auto it = m_state->workspaces.find(id);
    return it == m_state->workspaces.end() ? wholeShare : m_state->share(now, id, it->second);
}

uint32_t LimitShares::groupOf(const WorkspaceId& id) const
{
    return m_state->groupOf(id);
}

std::optional<HostId> LimitShares::coordinatorOf(uint32_t group) const
{
    return group < m_state->groups.size() ? m_state->groups[group].own.lenderHost : std::nullopt;
}

bool LimitShares::isCoordinator(uint32_t group) const
{
    return group < m_state->groups.size() && m_state->groups[group].localLender.isActive();
}

bool LimitShares::hasJoined() const
{
    return m_state->hasJoined;
}

} // namespace jacinthspindle
