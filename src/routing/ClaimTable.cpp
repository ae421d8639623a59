// Fold of claims and outcomes.

#include "routing/ClaimTable.h"

#include <algorithm>

namespace sapphiredale::routing {

ClaimTable::ClaimTable(const ClaimTableSettings& settings)
    : m_settings(settings)
{
}

void ClaimTable::advance(std::uint64_t offset, WallTime logTime)
{
    if (offset < m_nextOffset)
        return;
    m_nextOffset = offset + 1;
    m_logTime = std::max(m_logTime, logTime);
    expire();
}

void ClaimTable::apply(std::uint64_t offset, WallTime logTime, const ClaimStreamRecord& record)
{
    if (offset < m_nextOffset)
        return;
    advance(offset, logTime);
    if (const auto* claim = std::get_if<ClaimRecord>(&record))
        applyClaim(*claim);
    else
        applyOutcome(std::get<OutcomeRecord>(record));
}

void ClaimTable::refuse(const RecordId& claim, ClaimVerdict::Kind kind)
{
    if (m_refused.emplace(claim, kind).second)
        m_refusedOrder.push_back(claim);
    if (m_refusedOrder.size() > m_settings.m_maxKeys) {
        m_refused.erase(m_refusedOrder.front());
        m_refusedOrder.pop_front();
    }
}

void ClaimTable::applyClaim(const ClaimRecord& record)
{
    if (record.m_deadline <= m_logTime || record.m_deadline > m_logTime + m_settings.m_maxHorizon) {
        refuse(record.m_id, ClaimVerdict::Kind::Expired);
        return;
    }
    const auto known = m_claims.find(record.m_key);
    if (known == m_claims.end()) {
        // The expiry entries include those of keys that were given back, so that they are bounded as well.
        if (m_expiry.size() >= m_settings.m_maxKeys || record.m_key.size() > maxIdempotencyKey) {
            refuse(record.m_id, ClaimVerdict::Kind::Full);
            return;
        }
        Claim claim;
        claim.m_winner = record;
        m_claims.emplace(record.m_key, std::move(claim));
        m_expiry.emplace(record.m_deadline + m_settings.m_keepAfterDeadline, record.m_key);
        return;
    }
    // A repeated append of the winner is the same claim.
    if (known->second.m_winner.m_id == record.m_id)
        return;
    const ClaimRecord& winner = known->second.m_winner;
    // Another deadline under the same key would outlive the memory of the claim, so that a late retry could run again.
    const bool same = winner.m_fingerprint == record.m_fingerprint && winner.m_deadline == record.m_deadline;
    refuse(record.m_id, same ? ClaimVerdict::Kind::MayHaveRun : ClaimVerdict::Kind::Mismatch);
}

void ClaimTable::applyOutcome(const OutcomeRecord& record)
{
    const auto known = m_claims.find(record.m_key);
    if (known == m_claims.end() || known->second.m_winner.m_id != record.m_claim || known->second.m_outcome)
        return;
    if (record.m_notRun) {
        // The expiry entry stays; it is harmless for a later claim of the key, which has its own.
        refuse(record.m_claim, ClaimVerdict::Kind::Expired);
        m_claims.erase(known);
        return;
    }
    OutcomeRecord outcome = record;
    if (outcome.m_body.size() > maxOutcomeBody || m_bodyBytes + outcome.m_body.size() > m_settings.m_maxBodyBytes) {
        outcome.m_complete = false;
        outcome.m_body.clear();
    }
    m_bodyBytes += outcome.m_body.size();
    known->second.m_outcome = std::move(outcome);
}

void ClaimTable::expire()
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= m_logTime) {
        const auto claim = m_claims.find(m_expiry.begin()->second);
        if (claim != m_claims.end()
            && claim->second.m_winner.m_deadline + m_settings.m_keepAfterDeadline <= m_logTime) {
            if (const std::optional<OutcomeRecord>& outcome = claim->second.m_outcome)
                m_bodyBytes -= outcome->m_body.size();
            m_claims.erase(claim);
        }
        m_expiry.erase(m_expiry.begin());
    }
}

ClaimVerdict ClaimTable::verdict(const RecordId& claim, const std::string& key) const
{
    const auto known = m_claims.find(key);
    if (known != m_claims.end() && known->second.m_winner.m_id == claim)
        return { ClaimVerdict::Kind::Won, std::nullopt };
    const auto refused = m_refused.find(claim);
    if (refused == m_refused.end())
        return {};
    if (refused->second == ClaimVerdict::Kind::MayHaveRun && known != m_claims.end()) {
        const std::optional<OutcomeRecord>& outcome = known->second.m_outcome;
        if (outcome && outcome->m_complete)
            return { ClaimVerdict::Kind::Replay, outcome };
    }
    return { refused->second, std::nullopt };
}

} // namespace sapphiredale::routing
