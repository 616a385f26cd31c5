#include <geraniumdoor/serving/send_account.hpp>

#include <algorithm>
#include <cmath>

namespace geraniumdoor::serving
{

namespace
{

/// Window of the rate limit for cold upstreams: one second, with a margin for differences
/// in network delay.
constexpr milliseconds cold_window{1200};

/// Permits that were not asked for are kept for this time.
constexpr milliseconds permit_burst{250};

bool is_within_cold_quota(const send_account& account, bool cold, time_point now)
{
    const bool same_window = now - account.m_window_start < cold_window;
    const std::uint32_t sent = same_window ? account.m_window_sends : 0;
    return !cold || sent < account.m_cold_quota;
}

void set_statement(send_account& account, const limit_statement& statement)
{
    const auto before = account.m_statement.m_limit;
    account.m_statement = statement;
    if (!statement.m_limit)
    {
        account.m_permit_expires = {};
    }
    if (before && (!statement.m_limit || *statement.m_limit > *before))
    {
        account.m_next_ask = {};
    }
}

} // namespace

send_decision decide_send(const send_account& account, bool cold, time_point now)
{
    if (is_declining(account, now) || !is_within_cold_quota(account, cold, now))
    {
        return send_decision::denied;
    }
    const bool has_permit = account.m_permit_expires > now;
    if (!account.m_statement.m_limit || has_permit)
    {
        return send_decision::allowed;
    }
    return account.m_next_ask <= now ? send_decision::needs_permit
                                     : send_decision::denied;
}

time_point next_send(const send_account& account, time_point now)
{
    const bool needs_permit =
        account.m_statement.m_limit && account.m_permit_expires <= now;
    return std::max(
        {now, account.m_declines_until, needs_permit ? account.m_next_ask : now});
}

void record_send(send_account& account, time_point now)
{
    if (now - account.m_window_start >= cold_window)
    {
        account.m_window_start = now;
        account.m_window_sends = 0;
    }
    ++account.m_window_sends;
}

bool record_statement(send_account& account, std::optional<requests_per_s> limit,
                      bool may_end_limit, time_point sent_at, time_point now)
{
    const limit_statement& known = account.m_statement;
    const bool ends_limit = known.m_limit && may_end_limit && sent_at > known.m_stated_at;
    if (!limit && !ends_limit)
    {
        return false;
    }
    const bool changed = known.m_limit != limit;
    set_statement(account, {limit, now, true});
    return changed;
}

bool apply_statement(send_account& account, const limit_statement& statement)
{
    if (statement.m_stated_at <= account.m_statement.m_stated_at)
    {
        return false;
    }
    const bool changed = account.m_statement.m_limit != statement.m_limit;
    set_statement(account, statement);
    return changed;
}

void record_decline(send_account& account, milliseconds length, time_point now)
{
    const auto bounded = std::min<milliseconds>(length, max_decline_time);
    account.m_declines_until = std::max(account.m_declines_until, now + bounded);
}

bool is_declining(const send_account& account, time_point now)
{
    return account.m_declines_until > now;
}

void add_permit(send_account& account, time_point now)
{
    account.m_permit_expires = now + permit_lifetime;
}

bool take_permit(send_account& account, time_point now)
{
    const bool had_permit = account.m_permit_expires > now;
    account.m_permit_expires = {};
    return had_permit;
}

void record_denial(send_account& account, milliseconds wait, time_point now)
{
    account.m_next_ask = std::max(account.m_next_ask, now + wait);
}

milliseconds call_interval(requests_per_s limit)
{
    constexpr double ms_per_s = 1000;
    const double rate = std::max(min_permit_rate.m_value, limit.m_value);
    return milliseconds{static_cast<std::int64_t>(ms_per_s / rate)};
}

permit_decision issue_permit(permit_ledger& ledger, requests_per_s limit, double share,
                             time_point now)
{
    const double rate = std::max(min_permit_rate.m_value, limit.m_value) * share;
    const double most = std::max(1.0, rate * to_s(permit_burst));
    const double filled = rate * to_s(now - ledger.m_filled_at.value_or(now));
    ledger.m_permits = std::min(most, ledger.m_permits + filled);
    ledger.m_filled_at = now;
    if (ledger.m_permits >= 1)
    {
        ledger.m_permits -= 1;
        return {true, milliseconds{0}};
    }
    constexpr double ms_per_s = 1000;
    const double wait_ms =
        std::min(to_ms(max_permit_wait), (1 - ledger.m_permits) / rate * ms_per_s);
    return {false, milliseconds{static_cast<std::int64_t>(std::ceil(wait_ms))}};
}

} // namespace geraniumdoor::serving
