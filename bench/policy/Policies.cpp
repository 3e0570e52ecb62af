// Baselines: they dispatch every request at once, and replace a failed attempt up to three times.

#include "policy/Policies.h"

#include <algorithm>
#include <map>
#include <random>

namespace jacinthspindle::bench {

namespace {

    constexpr uint32_t maxBaselineAttempts = 4;

    class CorePolicy final : public Policy {
    public:
        explicit CorePolicy(const CoreConfig& config)
            : m_core(config)
        {
        }
        void apply(Instant now, const CoreInput& input, std::vector<CoreDecision>& decisions) override
        {
            m_core.apply(now, input, decisions);
        }

    private:
        DecisionCore m_core;
    };

    enum class Rule : uint8_t { RoundRobin, LeastOutstanding, TwoChoices };

    class Baseline final : public Policy {
    public:
        Baseline(Rule rule, uint64_t seed)
            : m_rule(rule)
            , m_random(seed)
            , m_firstTurn(seed)
        {
        }

        void apply(Instant, const CoreInput& input, std::vector<CoreDecision>& decisions) override
        {
            if (const auto* it = std::get_if<TableAdopted>(&input))
                m_table = it->table;
            else if (const auto* state = std::get_if<EndpointStateReported>(&input))
                m_out[state->endpoint] = state->availability != EndpointAvailability::Serving;
            else if (const auto* load = std::get_if<LoadReported>(&input))
                m_reported[load->endpoint] = load->running + load->waiting;
            else if (const auto* arrival = std::get_if<RequestArrived>(&input))
                dispatch(arrival->request, 1, 0, decisions);
            else if (const auto* failed = std::get_if<AttemptFailed>(&input))
                replace(*failed, decisions);
            else if (const auto* finished = std::get_if<RequestFinished>(&input))
                release(finished->request);
        }

    private:
        void replace(const AttemptFailed& failed, std::vector<CoreDecision>& decisions)
        {
            release(failed.request);
            if (failed.attempt < maxBaselineAttempts)
                return dispatch(failed.request, failed.attempt + 1, failed.position, decisions);
            decisions.push_back(Abandon { failed.request, failed.attempt, ResultCode::AttemptsExhausted, {} });
        }

        void release(const RequestId& request)
        {
            for (const auto& it : m_chains[request])
                --m_outstanding[it.endpoint];
            m_chains.erase(request);
        }

        void dispatch(const RequestId& request, uint32_t attempt, uint32_t position, std::vector<CoreDecision>& out)
        {
            Chain chain;
            uint32_t reached = 0;
            uint32_t layers = m_table->routes.front().layers;
            while (reached < layers) {
                std::vector<const EndpointRow*> candidates;
                for (const auto& it : m_table->endpoints) {
                    if (it.layers.contains(reached) && !m_out[it.endpoint])
                        candidates.push_back(&it);
                }
                const auto* row = choose(candidates, reached);
                chain.push_back({ row->endpoint, { reached, row->layers.end } });
                ++m_outstanding[row->endpoint];
                reached = row->layers.end;
            }
            m_chains[request] = chain;
            out.push_back(Dispatch { request, attempt, chain, 0, position, 1 });
        }

        const EndpointRow* choose(const std::vector<const EndpointRow*>& candidates, uint32_t reached)
        {
            if (m_rule == Rule::RoundRobin)
                return candidates[(m_firstTurn + m_turns[reached]++) % candidates.size()];
            if (m_rule == Rule::LeastOutstanding) {
                // The search starts at a random place so that ties do not always fall on the first endpoint.
                size_t start = m_random() % candidates.size();
                const auto* best = candidates[start];
                for (size_t i = 0; i < candidates.size(); ++i) {
                    const auto* it = candidates[(start + i) % candidates.size()];
                    if (m_outstanding[it->endpoint] < m_outstanding[best->endpoint])
                        best = it;
                }
                return best;
            }
            const auto* a = candidates[m_random() % candidates.size()];
            const auto* b = candidates[m_random() % candidates.size()];
            return m_reported[a->endpoint] <= m_reported[b->endpoint] ? a : b;
        }

        Rule m_rule;
        std::mt19937_64 m_random;
        uint64_t m_firstTurn; // Differs between daemons so that they do not move in step.
        std::map<uint32_t, uint64_t> m_turns; // By the first layer of the stage.
        std::shared_ptr<const Table> m_table;
        std::map<EndpointId, bool> m_out;
        std::map<EndpointId, uint32_t> m_reported;
        std::map<EndpointId, uint32_t> m_outstanding;
        std::map<RequestId, Chain> m_chains;
    };

} // namespace

std::vector<std::string> policyNames()
{
    return { "core", "round-robin", "least-outstanding", "two-choices" };
}

std::unique_ptr<Policy> makePolicy(
    const std::string& name, const DataCentreId& dataCentre, uint32_t daemon, uint64_t seed)
{
    uint64_t ownSeed = seed * 1000 + daemon;
    if (name == "round-robin")
        return std::make_unique<Baseline>(Rule::RoundRobin, ownSeed);
    if (name == "least-outstanding")
        return std::make_unique<Baseline>(Rule::LeastOutstanding, ownSeed);
    if (name == "two-choices")
        return std::make_unique<Baseline>(Rule::TwoChoices, ownSeed);
    CoreConfig config;
    config.dataCentre = dataCentre;
    config.seed = ownSeed;
    config.host = HostId("entry-" + std::to_string(daemon));
    if (name == "core-all-choices") {
        config.choices = 0;
        config.sharesCapacity = false;
    }
    return std::make_unique<CorePolicy>(config);
}

} // namespace jacinthspindle::bench
