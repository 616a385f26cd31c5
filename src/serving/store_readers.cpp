#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/serving/store_readers.hpp>

#include <algorithm>

namespace geraniumdoor::serving
{

namespace
{

/// Pause after the first failed read, and upper bound of the pause.
constexpr milliseconds first_retry_delay{150};
constexpr milliseconds max_retry_delay{600};

/// Whether another host precedes this one as a reader.
bool is_ahead(const reader_candidate& other, const reader_candidate& own)
{
    switch (own.m_access)
    {
    case store_access::reading:
        return other.m_access == store_access::reading && other.m_weight > own.m_weight;
    case store_access::unused:
        return (other.m_access == store_access::reading &&
                other.m_weight * holder_weight_factor > own.m_weight) ||
               (other.m_access == store_access::unused && other.m_weight > own.m_weight);
    case store_access::retrying:
        return (other.m_access == store_access::reading &&
                other.m_weight * holder_weight_factor > own.m_weight) ||
               (other.m_access == store_access::retrying &&
                other.m_weight > own.m_weight);
    case store_access::failing:
        break;
    }
    return other.m_access == store_access::reading ||
           other.m_access == store_access::unused || other.m_weight > own.m_weight;
}

} // namespace

void record_store_read(store_read_history& history, bool succeeded, time_point began,
                       time_point ended)
{
    if (succeeded)
    {
        history = {};
        return;
    }
    if (history.m_consecutive_failures == 0)
    {
        history.m_first_failure_began = began;
    }
    ++history.m_consecutive_failures;
    history.m_last_failure = ended;
    history.m_last_failure_began = began;
    history.m_is_unanswered = ended - began >= usual_store_response;
}

void end_outage(store_read_history& history, const host_table& table)
{
    if (history.m_consecutive_failures > 0 &&
        history.m_last_failure_began < table.m_store_recovered_at)
    {
        history = {};
    }
}

bool is_failing(const store_read_history& history, time_point now)
{
    return history.m_consecutive_failures >= min_failed_reads &&
           history.m_last_failure - history.m_first_failure_began >= store_failure_time &&
           now - history.m_last_failure < store_failure_hold;
}

store_access access_to_store(const store_read_history& history, bool is_reading,
                             bool is_overdue, time_point now)
{
    if (is_failing(history, now))
    {
        return store_access::failing;
    }
    const bool was_unanswered =
        history.m_is_unanswered && now - history.m_last_failure < store_failure_hold;
    if (is_overdue || was_unanswered)
    {
        return store_access::retrying;
    }
    return is_reading ? store_access::reading : store_access::unused;
}

store_access access_to_both(store_access left, store_access right)
{
    for (const store_access worst : {store_access::failing, store_access::retrying})
    {
        if (left == worst || right == worst)
        {
            return worst;
        }
    }
    return left == right ? left : store_access::unused;
}

milliseconds read_retry_delay(int consecutive_failures)
{
    constexpr int max_doublings = 4;
    const int doublings = std::clamp(consecutive_failures - 1, 0, max_doublings);
    return std::min(first_retry_delay * (1 << doublings), max_retry_delay);
}

bool is_store_reader(const reader_candidate& own,
                     std::span<const reader_candidate> others)
{
    const auto ahead = std::count_if(others.begin(), others.end(),
                                     [&own](const reader_candidate& other)
                                     {
                                         return is_ahead(other, own);
                                     });
    const auto retrying =
        std::count_if(others.begin(), others.end(),
                      [](const reader_candidate& other)
                      {
                          return other.m_access == store_access::retrying;
                      });
    // More hosts that retry mean an outage, in which others would fail, too.
    const bool waits = own.m_access == store_access::unused;
    const auto in_vain = waits ? std::max<std::ptrdiff_t>(0, retrying - max_replaced) : 0;
    const bool nobody_reads =
        own.m_access == store_access::failing &&
        std::all_of(others.begin(), others.end(),
                    [](const reader_candidate& other)
                    {
                        return other.m_access == store_access::failing ||
                               other.m_access == store_access::retrying;
                    });
    // Those ahead may be cut off from a store that is back for others.
    const std::size_t readers = nobody_reads ? max_failing_readers : store_reader_count;
    return static_cast<std::size_t>(ahead + in_vain) < readers;
}

bool is_store_reader(const host_table& table, const host_report& own,
                     const row_pulls& pulls, time_point now)
{
    std::vector<reader_candidate> others;
    others.reserve(table.m_hosts.size());
    for (const auto& [id, host] : table.m_hosts)
    {
        if (is_live(host, now) && !host.m_report.m_stopping &&
            answers_pulls(pulls, id, now))
        {
            others.push_back({host.m_reader_weight, host.m_report.m_store_access});
        }
    }
    if (own.m_stopping && !others.empty())
    {
        return false;
    }
    return is_store_reader({role_weight(store_reader_role, own), own.m_store_access},
                           others);
}

bool reads_for_itself(const table_view& view, const node_id& own, time_point last_read,
                      time_point now)
{
    const auto position = static_cast<std::int64_t>(
        stable_hash(own.m_value) %
        static_cast<std::uint64_t>(followed_age_spread.count()));
    return view.m_as_of &&
           now - *view.m_as_of >= max_followed_age + milliseconds{position} &&
           now - last_read >= own_read_interval;
}

bool is_store_read_elsewhere(const host_table& table, time_point now)
{
    return std::any_of(table.m_hosts.begin(), table.m_hosts.end(),
                       [&](const auto& entry)
                       {
                           const host_report& report = entry.second.m_report;
                           return report.m_store_access == store_access::reading &&
                                  is_live(entry.second, now);
                       });
}

} // namespace geraniumdoor::serving
