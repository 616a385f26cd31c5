#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/serving/engine_choice.hpp>

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace geraniumdoor::serving
{

namespace
{

/// First token of an idle engine, in milliseconds. Source: the sheet of both users.
constexpr double idle_first_token_ms = 14;

/// Cost of bringing inputs to another data centre, in milliseconds for each byte. The
/// users price 3 MB like the reading of 1,200 tokens, which takes 25 ms.
constexpr double remote_byte_ms = 25.0 / 3e6;

constexpr double ejected_ms = 100000;
constexpr double cold_ms = 400;
constexpr double full_ms = 5000;
constexpr double failed_answer_ms = 1500;

/// The longest run of shared parts decides, so that sessions that share only a short
/// general part spread over the engines.
std::string_view affinity_key(const prompt& wanted)
{
    if (wanted.m_parts.empty())
    {
        return {};
    }
    const std::size_t last_shared =
        wanted.m_parts.size() > 1 ? wanted.m_parts.size() - 2 : 0;
    return wanted.m_parts[last_shared].m_id;
}

/// Tokens of all requests in progress against the memory, as a share.
double memory_share(const upstream& engine, const engine_limits& limits)
{
    if (limits.m_memory_tokens == 0)
    {
        return 0;
    }
    return static_cast<double>(engine.m_running_tokens + engine.m_tokens_elsewhere) /
           static_cast<double>(limits.m_memory_tokens);
}

bool is_full(const upstream& engine, const engine_limits& limits)
{
    return load_ratio(engine) >= 1 || memory_share(engine, limits) >= 1;
}

double engine_cost(const upstream& engine, const prompt& wanted,
                   const engine_limits& limits, bool cached, const input_location& inputs,
                   time_point now)
{
    double cost = expected_first_token_ms(engine, wanted, cached);
    cost += failed_answer_ms * engine.m_failure_share;
    cost += is_full(engine, limits) ? full_ms : 0;
    cost += engine.m_cold_until > now ? cold_ms : 0;
    cost += engine.m_ejected_until > now ? ejected_ms : 0;
    const bool remote = !inputs.m_data_centre.m_value.empty() &&
                        engine.m_entry.m_data_centre != inputs.m_data_centre;
    return cost + (remote ? remote_byte_ms * static_cast<double>(inputs.m_bytes) : 0);
}

} // namespace

std::uint64_t shared_prefix_tokens(const prompt& wanted)
{
    std::uint64_t tokens = 0;
    for (std::size_t at = 0; at + 1 < wanted.m_parts.size(); ++at)
    {
        tokens += wanted.m_parts[at].m_tokens;
    }
    return tokens;
}

std::uint32_t engine_priority(const prompt& wanted)
{
    constexpr std::uint32_t tokens_per_step = 3000;
    constexpr std::uint32_t last = 9;
    return std::min(last, wanted.m_prompt_tokens / tokens_per_step);
}

std::optional<milliseconds> input_fetch_time(const upstream& engine,
                                             const engine_limits& limits,
                                             std::uint64_t bytes, double bytes_per_ms)
{
    if (bytes_per_ms <= 0 || is_full(engine, limits))
    {
        return std::nullopt;
    }
    const double transfer =
        concurrent_fetches * static_cast<double>(bytes) / bytes_per_ms;
    return fetch_start_delay +
           milliseconds{static_cast<std::int64_t>(std::ceil(transfer))};
}

double expected_first_token_ms(const upstream& engine, const prompt& wanted, bool cached)
{
    const std::uint64_t shared = shared_prefix_tokens(wanted);
    const std::uint64_t own =
        wanted.m_prompt_tokens > shared ? wanted.m_prompt_tokens - shared : 0;
    const std::uint64_t read = cached ? own : own + shared;
    const double running = engine.m_running + engine.m_running_elsewhere;
    return engine.m_slowness *
           (idle_first_token_ms + static_cast<double>(read) / prefill_tokens_per_ms +
            running * running_request_ms);
}

const upstream* choose_engine(const upstream_table& table, const pool_id& pool,
                              const prompt& wanted, const engine_limits& limits,
                              const std::vector<upstream_id>& tried,
                              const input_location& inputs, time_point now)
{
    struct home
    {
        const upstream* m_engine = nullptr;
        std::uint64_t m_weight = 0;
    };
    const std::string_view key = affinity_key(wanted);
    const bool one_home = shared_prefix_tokens(wanted) >= single_home_min_tokens;
    std::unordered_map<data_centre_id, home> homes;
    std::vector<const upstream*> candidates;
    for (const auto& [id, row] : table.m_rows)
    {
        const bool fits = row.m_entry.m_pool == pool && accepts_work(table, row) &&
                          is_within_cold_quota(row, now) &&
                          std::find(tried.begin(), tried.end(), id) == tried.end();
        if (!fits)
        {
            continue;
        }
        candidates.push_back(&row);
        home& best = homes[one_home ? data_centre_id{} : row.m_entry.m_data_centre];
        const std::uint64_t weight = rendezvous_weight(key, id.m_value);
        if (row.m_ejected_until <= now &&
            (best.m_engine == nullptr || weight > best.m_weight))
        {
            best = {&row, weight};
        }
    }
    const upstream* chosen = nullptr;
    double chosen_cost = 0;
    for (const upstream* candidate : candidates)
    {
        const auto& best =
            homes[one_home ? data_centre_id{} : candidate->m_entry.m_data_centre];
        const double cost = engine_cost(*candidate, wanted, limits,
                                        candidate == best.m_engine, inputs, now);
        if (chosen == nullptr || cost < chosen_cost)
        {
            chosen = candidate;
            chosen_cost = cost;
        }
    }
    return chosen;
}

} // namespace geraniumdoor::serving
