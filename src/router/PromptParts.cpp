// Suspicion of parts, and its bounds.

#include "router/PromptParts.h"

#include <algorithm>

namespace jacinthspindle::router {

namespace {

    using std::chrono::milliseconds;

    // Ages that two daemons tell of one moment differ by the time that their messages take.
    constexpr milliseconds messageTime { 200 };

} // namespace

PromptPart promptPartOf(std::string_view identifier)
{
    // FNV-1a: daemons of all machines must agree on the digest.
    uint64_t digest = 14695981039346656037ULL;
    for (unsigned char it : identifier) {
        digest ^= it;
        digest *= 1099511628211ULL;
    }
    return PromptPart { digest };
}

void PromptParts::recordBegin(Instant now, const std::vector<PromptPart>& parts)
{
    std::lock_guard lock(m_mutex);
    for (auto it : parts)
        noteSound(now, it);
}

void PromptParts::noteSound(Instant now, PromptPart part)
{
    if (m_suspects.erase(part) && m_refuted.size() < maxNews)
        m_refuted.push_back(part);
    m_sound[part] = now;
    if (m_sound.size() <= maxSound)
        return;
    std::vector<Instant> times;
    times.reserve(m_sound.size());
    for (const auto& it : m_sound)
        times.push_back(it.second);
    auto middle = times.begin() + static_cast<ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    auto oldest = *middle;
    std::erase_if(m_sound, [oldest](const auto& it) { return it.second < oldest; });
    // The others began at the same moment.
    while (m_sound.size() > maxSound)
        m_sound.erase(m_sound.begin());
}

bool PromptParts::recordEnds(Instant now, const std::vector<PartEnd>& ends)
{
    std::lock_guard lock(m_mutex);
    bool isNew = false;
    for (const auto& it : ends)
        isNew = addEnd(now, it) || isNew;
    return isNew;
}

bool PromptParts::adopt(Instant now, const PartNews& news)
{
    std::lock_guard lock(m_mutex);
    bool isNew = false;
    for (auto it : news.sound) {
        isNew = isNew || m_suspects.contains(it);
        noteSound(now, it);
    }
    for (const auto& it : news.ends) {
        bool isRefuted = isSound(it.part) && std::find(m_refuted.begin(), m_refuted.end(), it.part) == m_refuted.end();
        if (isRefuted && m_refuted.size() < maxNews) {
            m_refuted.push_back(it.part);
            isNew = true;
        }
        isNew = addEnd(now, it) || isNew;
    }
    return isNew;
}

bool PromptParts::addEnd(Instant now, const PartEnd& end)
{
    if (isSound(end.part) || end.endedAge >= blockTime || end.sentAge < end.endedAge)
        return false;
    if (!noteEnded(end.endpoint, now - end.sentAge, now - end.endedAge))
        return false;
    auto found = m_suspects.find(end.part);
    bool isBlocked = found != m_suspects.end() && found->second.isBlocked;
    if (!isBlocked && isExplained(end.endpoint))
        return false;
    if (found == m_suspects.end()) {
        makeRoom(now);
        found = m_suspects.try_emplace(end.part).first;
        found->second.depth = end.depth;
    }
    auto& suspect = found->second;
    suspect.depth = std::min(suspect.depth, end.depth);
    if (!suspect.isBlocked)
        std::erase_if(suspect.ends, [now](const auto& it) { return now - it.second.endedAt >= blockTime; });
    End seen { end.witness, now - end.sentAge, now - end.endedAge };
    suspect.lastEnd = std::max(suspect.lastEnd, seen.endedAt);
    auto [known, isNew] = suspect.ends.try_emplace(end.endpoint, seen);
    if (!isNew)
        known->second.sentAt = std::min(std::max(known->second.sentAt, seen.sentAt), known->second.endedAt);
    if (suspect.ends.size() > maxEndsOfPart) {
        auto isOlder = [](const auto& a, const auto& b) { return a.second.endedAt < b.second.endedAt; };
        suspect.ends.erase(std::min_element(suspect.ends.begin(), suspect.ends.end(), isOlder));
    }
    if (suspect.isBlocked)
        block(found);
    return isNew;
}

bool PromptParts::noteEnded(const EndpointId& endpoint, Instant sentAt, Instant endedAt)
{
    auto [known, isNew] = m_endedAt.try_emplace(endpoint, endedAt);
    if (!isNew && sentAt >= known->second)
        return false;
    known->second = std::min(known->second, endedAt);
    if (m_endedAt.size() > maxEnded) {
        auto isOlder = [](const auto& a, const auto& b) { return a.second < b.second; };
        m_endedAt.erase(std::min_element(m_endedAt.begin(), m_endedAt.end(), isOlder));
    }
    return true;
}

bool PromptParts::isExplained(const EndpointId& endpoint) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(),
        [&](const auto& it) { return it.second.isBlocked && it.second.ends.contains(endpoint); });
}

// Counts the ends at engines to which the part was sent after the end before. An engine that was lost together with
// another one cannot have received a request later.
size_t PromptParts::consecutiveEnds(Instant now, const Suspect& suspect)
{
    std::vector<const End*> ends;
    for (const auto& it : suspect.ends) {
        if (now - it.second.endedAt >= settleTime)
            ends.push_back(&it.second);
    }
    std::sort(ends.begin(), ends.end(), [](const End* a, const End* b) { return a->endedAt < b->endedAt; });
    size_t n = 0;
    const End* last = nullptr;
    for (const auto* it : ends) {
        Duration margin = last && last->witness != it->witness ? messageTime : milliseconds::zero();
        if (last && it->sentAt < last->endedAt + margin)
            continue;
        last = it;
        ++n;
    }
    return n;
}

// Another part, as deep or deeper, has seen the same ends.
bool PromptParts::isTied(const Suspects::value_type& suspect) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto& other) {
        return other.first != suspect.first && !other.second.isBlocked && other.second.depth >= suspect.second.depth
            && std::all_of(suspect.second.ends.begin(), suspect.second.ends.end(),
                [&](const auto& it) { return other.second.ends.contains(it.first); });
    });
}

// Returns the deepest part that is to be blocked.
PromptParts::Suspects::iterator PromptParts::findCulprit(Instant now)
{
    auto culprit = m_suspects.end();
    for (auto it = m_suspects.begin(); it != m_suspects.end(); ++it) {
        auto ends = it->second.isBlocked ? 0 : consecutiveEnds(now, it->second);
        bool isCulprit = ends >= endsToBlock && (ends >= endsToBlockTied || !isTied(*it));
        if (isCulprit && (culprit == m_suspects.end() || it->second.depth > culprit->second.depth))
            culprit = it;
    }
    return culprit;
}

void PromptParts::block(Suspects::iterator blocked)
{
    blocked->second.isBlocked = true;
    const auto& explained = blocked->second.ends;
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        if (!it->second.isBlocked)
            std::erase_if(it->second.ends, [&](const auto& end) { return explained.contains(end.first); });
        it = it->second.ends.empty() ? m_suspects.erase(it) : std::next(it);
    }
}

void PromptParts::update(Instant now)
{
    std::lock_guard lock(m_mutex);
    for (auto it = findCulprit(now); it != m_suspects.end(); it = findCulprit(now))
        block(it);
}

// Drops what is too old and, when there are too many, the suspect with the fewest ends.
void PromptParts::makeRoom(Instant now)
{
    std::erase_if(m_suspects, [now](const auto& it) { return now - it.second.lastEnd >= 2 * blockTime; });
    while (m_suspects.size() >= maxSuspects) {
        auto isWeaker = [](const auto& a, const auto& b) {
            return std::pair(a.second.ends.size(), a.second.lastEnd)
                < std::pair(b.second.ends.size(), b.second.lastEnd);
        };
        m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), isWeaker));
    }
}

bool PromptParts::isBlocked(Instant now, const std::vector<PromptPart>& parts) const
{
    std::lock_guard lock(m_mutex);
    if (m_suspects.empty())
        return false;
    return std::any_of(parts.begin(), parts.end(), [&](auto part) {
        auto found = m_suspects.find(part);
        return found != m_suspects.end() && isInForce(now, found->second);
    });
}

PartNews PromptParts::news(Instant now, bool isWhole) const
{
    std::lock_guard lock(m_mutex);
    PartNews news;
    news.sound = m_refuted;
    if (isWhole) {
        std::vector<std::pair<Instant, PromptPart>> sound;
        for (const auto& [part, at] : m_sound)
            sound.emplace_back(at, part);
        std::sort(sound.rbegin(), sound.rend());
        for (size_t i = 0; i < sound.size() && news.sound.size() < maxNews; ++i)
            news.sound.push_back(sound[i].second);
    }
    std::vector<Suspects::const_iterator> suspects;
    for (auto it = m_suspects.begin(); it != m_suspects.end(); ++it)
        suspects.push_back(it);
    // Those with most ends come first.
    std::sort(
        suspects.begin(), suspects.end(), [](auto a, auto b) { return a->second.ends.size() > b->second.ends.size(); });
    auto ageOf = [now](Instant at) { return std::chrono::ceil<milliseconds>(now - at); };
    for (const auto& it : suspects) {
        for (const auto& [endpoint, end] : it->second.ends) {
            if (now - end.endedAt < blockTime && news.ends.size() < maxNews)
                news.ends.push_back(
                    { it->first, it->second.depth, endpoint, end.witness, ageOf(end.sentAt), ageOf(end.endedAt) });
        }
    }
    return news;
}

size_t PromptParts::blocked(Instant now) const
{
    std::lock_guard lock(m_mutex);
    return static_cast<size_t>(std::count_if(
        m_suspects.begin(), m_suspects.end(), [now](const auto& it) { return isInForce(now, it.second); }));
}

bool PromptParts::isWatching(Instant now) const
{
    std::lock_guard lock(m_mutex);
    return std::any_of(m_suspects.begin(), m_suspects.end(),
        [now](const auto& it) { return isInForce(now, it.second) || now - it.second.lastEnd < watchTime; });
}

size_t PromptParts::suspects() const
{
    std::lock_guard lock(m_mutex);
    return m_suspects.size();
}

} // namespace jacinthspindle::router
