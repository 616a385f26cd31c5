#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/serving/engine_choice.hpp>

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace geraniumdoor::serving
{

namespace
{

/// Time to first token of an idle engine without prefill, in milliseconds.
constexpr double idle_first_token_ms = 14;

/// Cost of transferring inputs to another data centre, in milliseconds per byte. In the
/// users' prices, 3 MB cost as much as prefilling 1,200 tokens, which takes 25 ms.
constexpr double remote_ms_per_byte = 25.0 / 3e6;

/// Costs added to the expected time to first token for engines that are ejected, cold or
/// full, and for the share of requests that fail.
constexpr double ejected_penalty_ms = 100000;
constexpr double cold_penalty_ms = 400;
constexpr double full_penalty_ms = 5000;
constexpr double failure_penalty_ms = 1500;

/// Largest difference that the order of engines has for requests with the same home: the
/// delay by about ten requests in progress.
constexpr double max_spread_ms = 40;

/// Cost of the only engine of a version for a new stream: the time to prefill a long
/// shared prefix again at another engine.
constexpr double lone_version_penalty_ms = 300;

/// Longest time for which results are kept while an engine fetches them. A link with next
/// to no bandwidth would make it longer than a duration holds.
constexpr seconds max_fetch_time{3600};

/// Returns the key that selects the home engine of a prompt: the last shared part, so
/// that sessions that have only a short general prefix in common are distributed over
/// the engines.
std::string_view affinity_key(const prompt& request_prompt)
{
    if (request_prompt.m_parts.empty())
    {
        return {};
    }
    const std::size_t last_shared =
        request_prompt.m_parts.size() > 1 ? request_prompt.m_parts.size() - 2 : 0;
    return request_prompt.m_parts[last_shared].m_id;
}

/// Ratio of the tokens of all requests in progress to the engine's memory.
double memory_load(const upstream& engine, const engine_limits& limits)
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
    return load_ratio(engine) >= 1 || memory_load(engine, limits) >= 1;
}

/// Number of engines of each version.
using version_counts = std::vector<std::pair<const software_version*, std::size_t>>;

void count_version(version_counts& counts, const software_version& version)
{
    for (auto& [counted, count] : counts)
    {
        if (*counted == version)
        {
            ++count;
            return;
        }
    }
    counts.emplace_back(&version, 1);
}

/// Whether a version has one engine, and another version has more.
bool is_lone(const version_counts& counts, const software_version& version)
{
    bool has_one = false;
    bool other_has_more = false;
    for (const auto& [counted, count] : counts)
    {
        has_one |= *counted == version && count == 1;
        other_has_more |= *counted != version && count > 1;
    }
    return has_one && other_has_more;
}

/// Cost by which requests that cannot go to their home engine differ in their order of
/// the others.
///
/// Load pattern: sixty hosts look for another engine in the same half second, from
/// reports of the half second before, and would all choose the same one.
double spread_ms(const prompt& request_prompt, const upstream& engine)
{
    const std::string_view own = request_prompt.m_parts.empty()
                                     ? std::string_view{}
                                     : request_prompt.m_parts.back().m_id;
    constexpr double hash_steps = 1 << 20;
    const auto step = rendezvous_weight(own, engine.m_entry.m_id.m_value) % (1U << 20U);
    return max_spread_ms * static_cast<double>(step) / hash_steps;
}

double engine_cost(const upstream& engine, const prompt& request_prompt,
                   const engine_limits& limits, bool cached, const input_location& inputs,
                   time_point now)
{
    double cost = expected_first_token_ms(engine, request_prompt, cached);
    cost += failure_penalty_ms * quality_of(engine).m_failure_share;
    cost += is_full(engine, limits) ? full_penalty_ms : 0;
    cost += engine.m_cold_until > now ? cold_penalty_ms : 0;
    cost += engine.m_ejected_until > now ? ejected_penalty_ms : 0;
    const bool remote = !inputs.m_data_centre.m_value.empty() &&
                        engine.m_entry.m_data_centre != inputs.m_data_centre;
    return cost + (remote ? remote_ms_per_byte * static_cast<double>(inputs.m_bytes) : 0);
}

} // namespace

std::uint64_t shared_prefix_tokens(const prompt& request_prompt)
{
    std::uint64_t tokens = 0;
    for (std::size_t index = 0; index + 1 < request_prompt.m_parts.size(); ++index)
    {
        tokens += request_prompt.m_parts[index].m_tokens;
    }
    return tokens;
}

std::uint32_t engine_priority(const prompt& request_prompt)
{
    constexpr std::uint32_t tokens_per_level = 3000;
    constexpr std::uint32_t lowest = 9;
    return std::min(lowest, request_prompt.m_prompt_tokens / tokens_per_level);
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
        std::min(to_ms(max_fetch_time),
                 concurrent_fetches * static_cast<double>(bytes) / bytes_per_ms);
    return fetch_start_delay +
           milliseconds{static_cast<std::int64_t>(std::ceil(transfer))};
}

bool is_home_engine(const upstream_table& table, const prompt& request_prompt,
                    const upstream& engine, time_point now)
{
    const std::string_view affinity = affinity_key(request_prompt);
    const bool has_single_home =
        shared_prefix_tokens(request_prompt) >= min_shared_tokens_for_single_home;
    const std::uint64_t own = rendezvous_weight(affinity, engine.m_entry.m_id.m_value);
    for (const auto& [id, row] : table.m_rows)
    {
        const bool competes = row.m_entry.m_pool == engine.m_entry.m_pool &&
                              accepts_work(table, row) && row.m_use == engine.m_use &&
                              row.m_ejected_until <= now &&
                              (has_single_home ||
                               row.m_entry.m_data_centre == engine.m_entry.m_data_centre);
        if (competes && rendezvous_weight(affinity, id.m_value) > own)
        {
            return false;
        }
    }
    return true;
}

double usual_first_token_ms(const upstream& engine, const prompt& request_prompt,
                            bool cached)
{
    const std::uint64_t shared_tokens = shared_prefix_tokens(request_prompt);
    const std::uint64_t own_tokens = request_prompt.m_prompt_tokens > shared_tokens
                                         ? request_prompt.m_prompt_tokens - shared_tokens
                                         : 0;
    const std::uint64_t prefill_tokens = cached ? own_tokens : own_tokens + shared_tokens;
    const double running_requests = engine.m_running + engine.m_running_elsewhere;
    return idle_first_token_ms +
           static_cast<double>(prefill_tokens) / prefill_tokens_per_ms +
           running_requests * running_request_delay_ms;
}

double expected_first_token_ms(const upstream& engine, const prompt& request_prompt,
                               bool cached)
{
    return quality_of(engine).m_slowness *
           usual_first_token_ms(engine, request_prompt, cached);
}

const upstream* choose_engine(const upstream_table& table, const pool_id& pool,
                              const prompt& request_prompt, const engine_limits& limits,
                              const std::vector<upstream_id>& tried,
                              const input_location& inputs, time_point now,
                              const std::optional<software_version>& version,
                              bool is_trial)
{
    struct home
    {
        const upstream* m_engine = nullptr;
        std::uint64_t m_weight = 0;
    };
    const std::string_view affinity = affinity_key(request_prompt);
    const bool has_single_home =
        shared_prefix_tokens(request_prompt) >= min_shared_tokens_for_single_home;
    std::unordered_map<data_centre_id, home> homes;
    std::vector<const upstream*> candidates;
    version_counts engines_of_version;
    for (const auto& [id, row] : table.m_rows)
    {
        if (row.m_entry.m_pool != pool || !accepts_work(table, row) ||
            !is_in_use(row, version, is_trial))
        {
            continue;
        }
        count_version(engines_of_version, row.m_entry.m_version);
        const bool is_candidate =
            has_version(row, version) && decide_send(row, now) != send_decision::denied &&
            std::find(tried.begin(), tried.end(), id) == tried.end();
        if (!is_candidate)
        {
            continue;
        }
        candidates.push_back(&row);
        home& best_home =
            homes[has_single_home ? data_centre_id{} : row.m_entry.m_data_centre];
        const std::uint64_t weight = rendezvous_weight(affinity, id.m_value);
        if (row.m_ejected_until <= now &&
            (best_home.m_engine == nullptr || weight > best_home.m_weight))
        {
            best_home = {&row, weight};
        }
    }
    const upstream* selected = nullptr;
    double selected_cost = 0;
    for (const upstream* candidate : candidates)
    {
        const auto& best_home =
            homes[has_single_home ? data_centre_id{} : candidate->m_entry.m_data_centre];
        const double cost =
            engine_cost(*candidate, request_prompt, limits,
                        candidate == best_home.m_engine, inputs, now) +
            (is_lone(engines_of_version, candidate->m_entry.m_version)
                 ? lone_version_penalty_ms
                 : 0) +
            (candidate == best_home.m_engine ? 0 : spread_ms(request_prompt, *candidate));
        if (selected == nullptr || cost < selected_cost)
        {
            selected = candidate;
            selected_cost = cost;
        }
    }
    return selected;
}

} // namespace geraniumdoor::serving
