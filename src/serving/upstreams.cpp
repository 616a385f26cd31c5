#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/serving/upstreams.hpp>

#include <algorithm>
#include <cmath>

namespace geraniumdoor::serving
{

namespace
{

/// Cost of a cold upstream, in units of load, so that it is only used when the warm ones
/// are full.
constexpr double cold_penalty = 4;
/// Cost of an upstream in another data centre, in units of load; small enough to only
/// break ties.
constexpr double remote_penalty = 0.05;
/// Relative cost of a failed response: the request has to run again at another upstream.
constexpr double failure_penalty = 4;

double selection_cost(const upstream& row, const data_centre_id& own_data_centre,
                      time_point now)
{
    const observed_quality quality = quality_of(row);
    double cost = quality.m_slowness * (1 + load_ratio(row));
    cost *= 1 + failure_penalty * quality.m_failure_share;
    if (row.m_cold_until > now)
    {
        cost += cold_penalty;
    }
    if (row.m_entry.m_data_centre != own_data_centre)
    {
        cost += remote_penalty;
    }
    return cost;
}

} // namespace

upstream_run run_of(const upstream_entry& entry)
{
    return upstream_run{
        stable_hash(entry.m_id.m_value + '/' + std::to_string(entry.m_started_unix_ms))};
}

void apply_entry(upstream_table& table, const upstream_entry& entry, time_point now)
{
    upstream* known = table.m_rows.find(entry.m_id);
    const bool same_process =
        known != nullptr && known->m_entry.m_started_unix_ms == entry.m_started_unix_ms &&
        known->m_entry.m_pool == entry.m_pool &&
        known->m_entry.m_address == entry.m_address;
    if (!same_process)
    {
        known = &table.m_rows.put(entry.m_id, upstream{});
    }
    known->m_entry = entry;
    known->m_run = run_of(entry);
    known->m_cold_until = now + entry.m_cold_remaining;
}

std::uint32_t cold_quota(double rate_limit, std::size_t hosts, std::size_t rank)
{
    const auto whole_requests = static_cast<std::size_t>(std::max(1.0, rate_limit));
    if (hosts <= whole_requests)
    {
        return static_cast<std::uint32_t>(whole_requests /
                                          std::max<std::size_t>(1, hosts));
    }
    return rank < whole_requests ? 1 : 0;
}

send_decision decide_send(const upstream& row, time_point now)
{
    return decide_send(row.m_sends, row.m_cold_until > now, now);
}

upstream* find_run(upstream_table& table, upstream_run run)
{
    for (auto& [id, row] : table.m_rows)
    {
        if (row.m_run == run)
        {
            return &row;
        }
    }
    return nullptr;
}

std::optional<milliseconds> send_wait(const upstream_table& table, const pool_id& pool,
                                      time_point now,
                                      const std::optional<software_version>& version)
{
    std::optional<time_point> first;
    for (const auto& [id, row] : table.m_rows)
    {
        const bool is_usable =
            is_in_use(row, version, false) || is_in_use(row, version, true);
        if (row.m_entry.m_pool != pool || !accepts_work(table, row) || !is_usable ||
            !has_version(row, version))
        {
            continue;
        }
        const time_point next = next_send(row.m_sends, now);
        first = first ? std::min(*first, next) : next;
    }
    if (!first || *first <= now)
    {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(*first - now);
}

bool has_routing_change(const upstream_entry& before, const upstream_entry& after)
{
    return before.m_pool != after.m_pool || before.m_address != after.m_address ||
           before.m_data_centre != after.m_data_centre ||
           before.m_leaving != after.m_leaving ||
           before.m_concurrency != after.m_concurrency ||
           before.m_version != after.m_version ||
           before.m_started_unix_ms != after.m_started_unix_ms ||
           after.m_cold_remaining > before.m_cold_remaining;
}

bool accepts_work(const upstream_table& table, const upstream& candidate)
{
    return !candidate.m_entry.m_leaving && !candidate.m_says_leaving &&
           candidate.m_use != upstream_use::closed &&
           !table.m_evacuated_data_centres.contains(candidate.m_entry.m_data_centre);
}

bool takes_requests(const upstream_table& table, const upstream& candidate,
                    time_point now)
{
    return accepts_work(table, candidate) && !is_declining(candidate.m_sends, now);
}

bool has_version(const upstream& candidate,
                 const std::optional<software_version>& version)
{
    return !version ||
           (candidate.m_entry.m_version == *version && !candidate.m_doubted_at);
}

bool is_in_use(const upstream& candidate, const std::optional<software_version>& version,
               bool is_trial)
{
    if (version)
    {
        return candidate.m_use != upstream_use::closed;
    }
    return candidate.m_use == (is_trial ? upstream_use::trial : upstream_use::any);
}

void doubt_start(upstream& row, time_point at)
{
    if (at > std::max(row.m_certain_at, row.m_doubted_at.value_or(time_point{})))
    {
        row.m_doubted_at = at;
        row.m_reached_at.reset();
    }
}

void settle_start(upstream& row, time_point at)
{
    row.m_certain_at = std::max(row.m_certain_at, at);
    if (row.m_doubted_at && *row.m_doubted_at <= at)
    {
        row.m_doubted_at.reset();
        row.m_reached_at.reset();
    }
}

void record_reached(upstream& row, time_point now)
{
    if (row.m_doubted_at && !row.m_reached_at)
    {
        row.m_reached_at = now;
    }
}

void confirm_starts(upstream_table& table, const table_view& registry)
{
    for (auto& [id, row] : table.m_rows)
    {
        if (row.m_reached_at && registry.m_as_of &&
            *registry.m_as_of >= *row.m_reached_at)
        {
            settle_start(row, *row.m_reached_at);
        }
    }
}

bool is_available(const upstream_table& table, const upstream& candidate, time_point now)
{
    return takes_requests(table, candidate, now) && candidate.m_ejected_until <= now;
}

observed_quality quality_of(const upstream& row)
{
    const double age = row.m_missed_turns - observation_lifetime_turns;
    if (age <= 0)
    {
        return {row.m_failure_share, row.m_slowness};
    }
    const double kept = std::exp2(-age / observation_half_life_turns);
    return {kept * row.m_failure_share, 1 + kept * (row.m_slowness - 1)};
}

void record_response(upstream_table& table, upstream& row, bool succeeded,
                     double slowness)
{
    clear_ejection(row);
    const observed_quality before = quality_of(row);
    const double failure = succeeded ? 0 : 1;
    row.m_failure_share =
        before.m_failure_share + sample_weight * (failure - before.m_failure_share);
    row.m_slowness = before.m_slowness + sample_weight * (slowness - before.m_slowness);
    std::vector<upstream*> pool;
    for (auto& [id, other] : table.m_rows)
    {
        if (other.m_entry.m_pool == row.m_entry.m_pool)
        {
            pool.push_back(&other);
        }
    }
    for (upstream* other : pool)
    {
        other->m_missed_turns += 1 / static_cast<double>(pool.size());
    }
    row.m_missed_turns = 0;
}

void record_unreachable(upstream& row, time_point now)
{
    constexpr std::uint32_t max_doublings = 3;
    const auto doublings = std::min(row.m_consecutive_failures, max_doublings);
    ++row.m_consecutive_failures;
    row.m_ejected_until =
        now + std::min<milliseconds>(first_ejection * (1U << doublings), max_ejection);
}

void clear_ejection(upstream& row)
{
    row.m_consecutive_failures = 0;
    row.m_ejected_until = {};
}

double load_ratio(const upstream& row)
{
    const double slots = std::max<std::uint32_t>(1, row.m_entry.m_concurrency);
    return (row.m_running + row.m_running_elsewhere) / slots;
}

const upstream* choose_upstream(const upstream_table& table, const pool_id& pool,
                                const data_centre_id& own_data_centre,
                                const std::vector<upstream_id>& tried, time_point now,
                                const std::optional<software_version>& version,
                                bool is_trial)
{
    const upstream* selected = nullptr;
    double selected_cost = 0;
    for (const auto& [id, row] : table.m_rows)
    {
        const bool is_candidate =
            row.m_entry.m_pool == pool && accepts_work(table, row) &&
            is_in_use(row, version, is_trial) && has_version(row, version) &&
            decide_send(row, now) != send_decision::denied &&
            std::find(tried.begin(), tried.end(), id) == tried.end();
        if (!is_candidate)
        {
            continue;
        }
        // Using an ejected upstream as the last resort is better than refusing the
        // request.
        constexpr double ejected_penalty = 1000;
        const double cost = selection_cost(row, own_data_centre, now) +
                            (row.m_ejected_until > now ? ejected_penalty : 0);
        if (selected == nullptr || cost < selected_cost)
        {
            selected = &row;
            selected_cost = cost;
        }
    }
    return selected;
}

} // namespace geraniumdoor::serving
