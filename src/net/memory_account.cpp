#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/net/memory_account.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace
{

/// Parts of a machine's memory. The rest is for the process itself and its tables.
constexpr double caller_share = 0.4;
constexpr double peer_share = 0.15;
constexpr double control_share = 0.04;

/// Part of that which is kept for small holders.
constexpr std::size_t small_reserve_divisor = 4;

double share_of(memory_purpose purpose)
{
    switch (purpose)
    {
    case memory_purpose::callers:
        return caller_share;
    case memory_purpose::peers:
        return peer_share;
    case memory_purpose::control:
        return control_share;
    }
    return control_share;
}

time_point current_time()
{
    return std::chrono::steady_clock::now();
}

/// The holder of a phase that has stood still for longest, if any has.
std::optional<memory_holder_id> longest_still(const memory_account& account,
                                              memory_holder_id asking, holder_phase phase,
                                              time_point now)
{
    std::optional<memory_holder_id> found;
    time_point since = now - max_still_time;
    for (const auto& [id, holder] : account.m_holders)
    {
        if (id != asking && holder.m_phase == phase && holder.m_bytes > 0 &&
            holder.m_progress_at <= since)
        {
            found = id;
            since = holder.m_progress_at;
        }
    }
    return found;
}

} // namespace

memory_limits memory_limits_of(std::size_t machine_bytes, memory_purpose purpose)
{
    memory_limits limits;
    limits.m_total_bytes =
        static_cast<std::size_t>(share_of(purpose) * static_cast<double>(machine_bytes));
    limits.m_small_reserve_bytes = limits.m_total_bytes / small_reserve_divisor;
    return limits;
}

memory_decision request_memory(memory_account& account, memory_holder_id holder,
                               std::size_t bytes, time_point now)
{
    memory_holder& own = account.m_holders[holder];
    const memory_limits& limits = account.m_limits;
    const std::size_t others = account.m_held_bytes - own.m_bytes;
    const bool is_small = bytes <= max_small_bytes;
    const std::size_t limit =
        limits.m_total_bytes - (is_small ? 0 : limits.m_small_reserve_bytes);
    const bool is_single = others <= limits.m_small_reserve_bytes;
    const bool fits = limits.m_total_bytes == 0 || bytes <= own.m_bytes || is_single ||
                      others + bytes <= limit;
    if (fits)
    {
        own.m_bytes = bytes;
        account.m_held_bytes = others + bytes;
        return {};
    }
    for (const holder_phase phase : {holder_phase::receiving, holder_phase::idle})
    {
        if (const auto other = longest_still(account, holder, phase, now))
        {
            return {memory_verdict::close_other, *other};
        }
    }
    return {memory_verdict::refused, {}};
}

bool request_spare_memory(memory_account& account, memory_holder_id holder,
                          std::size_t bytes)
{
    memory_holder& own = account.m_holders[holder];
    const memory_limits& limits = account.m_limits;
    const std::size_t others = account.m_held_bytes - own.m_bytes;
    const std::size_t limit = limits.m_total_bytes - limits.m_small_reserve_bytes;
    const bool fits =
        limits.m_total_bytes == 0 || bytes <= own.m_bytes || others + bytes <= limit;
    if (fits)
    {
        own.m_bytes = bytes;
        account.m_held_bytes = others + bytes;
    }
    return fits;
}

void record_received(memory_account& account, memory_holder_id holder, std::size_t bytes,
                     time_point now)
{
    const auto at = account.m_holders.find(holder);
    if (at != account.m_holders.end() &&
        bytes >= at->second.m_marked_bytes + min_progress_bytes)
    {
        at->second.m_marked_bytes = bytes;
        at->second.m_progress_at = now;
    }
}

void release_memory(memory_account& account, memory_holder_id holder)
{
    const auto at = account.m_holders.find(holder);
    if (at != account.m_holders.end())
    {
        account.m_held_bytes -= at->second.m_bytes;
        account.m_holders.erase(at);
    }
}

std::optional<std::size_t> connection_to_close(const std::vector<waiting_peer>& peers,
                                               time_point now)
{
    const auto longest = [&](bool waiting_peer::*kind)
    {
        std::optional<std::size_t> found;
        time_point since = now - max_still_time;
        for (std::size_t at = 0; at < peers.size(); ++at)
        {
            if (peers[at].*kind && peers[at].m_still_since <= since)
            {
                found = at;
                since = peers[at].m_still_since;
            }
        }
        return found;
    };
    const auto receiving = longest(&waiting_peer::m_is_receiving);
    return receiving ? receiving : longest(&waiting_peer::m_is_idle);
}

memory_lease::memory_lease(std::shared_ptr<memory_pool> pool, std::function<void()> close)
    : m_pool{std::move(pool)}
{
    if (!m_pool)
    {
        return;
    }
    m_id.m_value = ++m_pool->m_last_id;
    memory_holder& holder = m_pool->m_account.m_holders[m_id];
    holder.m_progress_at = current_time();
    if (close)
    {
        holder.m_phase = holder_phase::receiving;
        m_pool->m_closers[m_id] = std::move(close);
    }
}

memory_lease::~memory_lease()
{
    release();
}

memory_lease::memory_lease(memory_lease&& other) noexcept
    : m_pool{std::exchange(other.m_pool, nullptr)}, m_id{other.m_id}
{
}

memory_lease& memory_lease::operator=(memory_lease&& other) noexcept
{
    if (this != &other)
    {
        release();
        m_pool = std::exchange(other.m_pool, nullptr);
        m_id = other.m_id;
    }
    return *this;
}

bool memory_lease::resize(std::size_t bytes)
{
    if (!m_pool)
    {
        return true;
    }
    while (true)
    {
        const memory_decision decision =
            request_memory(m_pool->m_account, m_id, bytes, current_time());
        if (decision.m_verdict == memory_verdict::granted)
        {
            return true;
        }
        if (decision.m_verdict == memory_verdict::refused)
        {
            ++m_pool->m_refused;
            log_event{"memory_refused"}
                .add("bytes", bytes)
                .add("held", m_pool->m_account.m_held_bytes)
                .add("limit", m_pool->m_account.m_limits.m_total_bytes);
            return false;
        }
        ++m_pool->m_closed;
        log_event{"still_peer_closed"}.add("reason", "memory").add("for_bytes", bytes);
        const auto closer = m_pool->m_closers.find(decision.m_other);
        const auto close =
            closer == m_pool->m_closers.end() ? std::function<void()>{} : closer->second;
        // Its bytes are freed as soon as its connection has noticed.
        release_memory(m_pool->m_account, decision.m_other);
        m_pool->m_closers.erase(decision.m_other);
        if (close)
        {
            close();
        }
    }
}

bool memory_lease::extend(std::size_t bytes)
{
    return !m_pool || request_spare_memory(m_pool->m_account, m_id, bytes);
}

void memory_lease::record_received(std::size_t bytes)
{
    if (m_pool)
    {
        geraniumdoor::record_received(m_pool->m_account, m_id, bytes, current_time());
    }
}

void memory_lease::enter(holder_phase phase)
{
    if (!m_pool)
    {
        return;
    }
    const auto at = m_pool->m_account.m_holders.find(m_id);
    if (at != m_pool->m_account.m_holders.end())
    {
        at->second.m_phase = phase;
        at->second.m_marked_bytes = 0;
        at->second.m_progress_at = current_time();
    }
}

void memory_lease::release()
{
    if (m_pool)
    {
        release_memory(m_pool->m_account, m_id);
        m_pool->m_closers.erase(m_id);
        m_pool.reset();
    }
}

} // namespace geraniumdoor
