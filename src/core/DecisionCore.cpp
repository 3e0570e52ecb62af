// Implements DecisionCore by internal::CoreState, hidden behind a pointer so that the public header does not need it.

#include "spindlecore/DecisionCore.h"

#include "spindlecore/internal/CoreState.h"

namespace jacinthspindle {

class DecisionCore::Impl : public internal::CoreState {
public:
    using internal::CoreState::CoreState;
};

DecisionCore::DecisionCore(const CoreConfig& config)
    : m_impl(std::make_unique<Impl>(config))
{
}

DecisionCore::~DecisionCore() = default;

void DecisionCore::apply(Instant now, const CoreInput& input, std::vector<CoreDecision>& decisions)
{
    std::visit([&](const auto& it) { m_impl->apply(now, it, decisions); }, input);
}

std::vector<EndpointLoad> DecisionCore::ownLoad() const
{
    return m_impl->ownLoad();
}

std::vector<ModelPressure> DecisionCore::ownPressure() const
{
    return m_impl->ownPressure();
}

std::vector<ModelAdmission> DecisionCore::admission() const
{
    return m_impl->admission();
}

CoreStatus DecisionCore::status() const
{
    return m_impl->status();
}

} // namespace jacinthspindle
