// Validation of tokens against the expected attempt.

#include "spindlecore/StreamValidator.h"

#include <numeric>

namespace jacinthspindle {

namespace {

    bool coversEachLayerOnce(const Chain& chain, uint32_t layers)
    {
        uint32_t next = 0;
        for (const auto& it : chain) {
            if (it.layers.first != next || it.layers.count() == 0)
                return false;
            next = it.layers.end;
        }
        return next == layers && !chain.empty();
    }

} // namespace

const char* tokenDropName(TokenDrop reason)
{
    switch (reason) {
    case TokenDrop::WrongRequest:
        return "wrong-request";
    case TokenDrop::WrongAttempt:
        return "wrong-attempt";
    case TokenDrop::OldPosition:
        return "old-position";
    case TokenDrop::Gap:
        return "gap";
    case TokenDrop::WrongLayers:
        return "wrong-layers";
    case TokenDrop::WrongVersion:
        return "wrong-version";
    case TokenDrop::WrongEndpoint:
        return "wrong-endpoint";
    case TokenDrop::NotExpected:
        return "not-expected";
    case TokenDrop::AttemptOver:
        break;
    }
    return "attempt-over";
}

StreamValidator::StreamValidator(RequestId request, uint32_t layers, internal::StreamMutations mutations)
    : m_mutations(mutations)
    , m_request(std::move(request))
    , m_layers(layers)
{
}

bool StreamValidator::expect(uint32_t attempt, const Chain& chain, const std::string& version, uint32_t firstPosition)
{
    m_attempt = 0;
    m_attemptFailed = false;
    m_refusal.clear();
    if (m_isComplete)
        m_refusal = "the stream is complete";
    else if (attempt <= m_lastAttempt)
        m_refusal = "attempt " + std::to_string(attempt) + " is not newer than " + std::to_string(m_lastAttempt);
    else if (firstPosition != m_nextPosition)
        m_refusal = "first position is " + std::to_string(firstPosition) + ", wanted " + std::to_string(m_nextPosition);
    else if (m_nextPosition > 0 && version != m_version)
        m_refusal = "version is " + version + ", the delivered tokens have " + m_version;
    else if (!coversEachLayerOnce(chain, m_layers))
        m_refusal = "the chain does not run each of " + std::to_string(m_layers) + " layers once";
    if (!m_refusal.empty())
        return false;
    m_attempt = attempt;
    m_lastAttempt = attempt;
    m_chain = chain;
    m_version = version;
    return true;
}

std::optional<TokenDrop> StreamValidator::checkProof(const TokenEvent& token) const
{
    if (token.proof.size() != m_chain.size())
        return TokenDrop::WrongLayers;
    for (size_t i = 0; i < m_chain.size(); ++i) {
        const auto& proof = token.proof[i];
        if (proof.attempt != m_attempt && !m_mutations.acceptWrongAttempt)
            return TokenDrop::WrongAttempt;
        if (proof.endpoint != m_chain[i].endpoint)
            return TokenDrop::WrongEndpoint;
        if (proof.layers != m_chain[i].layers)
            return TokenDrop::WrongLayers;
        if (proof.version != m_version)
            return TokenDrop::WrongVersion;
    }
    return std::nullopt;
}

StreamOutput StreamValidator::drop(TokenDrop reason, const TokenEvent& token)
{
    ++m_dropped[static_cast<size_t>(reason)];
    return Dropped { reason, token.position, token.attempt };
}

StreamOutput StreamValidator::accept(const TokenEvent& token)
{
    if (token.request != m_request && !m_mutations.acceptWrongRequest)
        return drop(TokenDrop::WrongRequest, token);
    if (m_attempt == 0 || m_isComplete)
        return drop(TokenDrop::NotExpected, token);
    if (token.attempt != m_attempt && !m_mutations.acceptWrongAttempt)
        return drop(TokenDrop::WrongAttempt, token);
    if (m_attemptFailed)
        return drop(TokenDrop::AttemptOver, token);
    if (token.position < m_nextPosition && !m_mutations.acceptOldPosition)
        return drop(TokenDrop::OldPosition, token);
    if (token.position > m_nextPosition && !m_mutations.acceptGap) {
        m_attemptFailed = true;
        return drop(TokenDrop::Gap, token);
    }
    auto fault = m_mutations.acceptWrongProof ? std::nullopt : checkProof(token);
    if (fault)
        return drop(*fault, token);
    m_nextPosition = token.position + 1;
    if (!token.isLast)
        return Accepted { token.position };
    m_isComplete = true;
    return Complete { m_nextPosition };
}

StreamOutput StreamValidator::apply(Instant, const StreamInput& input)
{
    if (const auto* token = std::get_if<TokenEvent>(&input))
        return accept(*token);
    const auto& expected = std::get<AttemptExpected>(input);
    if (expect(expected.attempt, expected.chain, expected.version, expected.firstPosition))
        return AttemptOpened { expected.attempt };
    return AttemptRefused { expected.attempt, m_refusal };
}

uint64_t StreamValidator::droppedTotal() const
{
    return std::accumulate(m_dropped.begin(), m_dropped.end(), uint64_t { 0 });
}

} // namespace jacinthspindle
