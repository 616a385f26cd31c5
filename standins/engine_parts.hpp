#pragma once

#include "standin_support.hpp"

#include <algorithm>

namespace geraniumdoor
{

/// Prefix cache of an engine and its events, which come late and with gaps.
class prefix_cache
{
public:
    explicit prefix_cache(const boost::json::object& settings)
        : m_capacity{number_or(settings, "cache_entries", 64)}
        , m_lag{microseconds_of(number_or(settings, "cache_lag_ms", 500))}
        , m_gap_probability{number_or(settings, "cache_gap_probability", 0.05)}
    {
    }

    /// Returns whether the prefix was cached, and caches it.
    bool use(const std::string& prefix, random_source& random)
    {
        const auto end = m_prefixes.end();
        if (std::find(m_prefixes.begin(), end, prefix) != end)
        {
            return true;
        }
        m_prefixes.push_back(prefix);
        publish("stored", prefix, random);
        if (static_cast<double>(m_prefixes.size()) > m_capacity)
        {
            publish("evicted", m_prefixes.front(), random);
            m_prefixes.pop_front();
        }
        return false;
    }

    /// Returns the visible events with a higher sequence number.
    boost::json::object events_after(std::uint64_t sequence) const
    {
        boost::json::array events;
        for (const auto& [visible_at, event] : m_events)
        {
            if (visible_at <= steady_now() && event.at("sequence").as_uint64() > sequence)
            {
                events.emplace_back(event);
            }
        }
        return {{"events", std::move(events)}};
    }

private:
    void publish(const char* action, const std::string& prefix, random_source& random)
    {
        constexpr std::size_t kept_events = 1000;
        ++m_last_sequence;
        if (uniform_unit(random) < m_gap_probability)
        {
            return;
        }
        m_events.emplace_back(steady_now() + m_lag,
                              boost::json::object{{"sequence", m_last_sequence},
                                                  {"action", action},
                                                  {"prefix", prefix}});
        if (m_events.size() > kept_events)
        {
            m_events.pop_front();
        }
    }

    double m_capacity;
    microseconds m_lag;
    double m_gap_probability;
    std::deque<std::string> m_prefixes;
    std::uint64_t m_last_sequence = 0;
    std::deque<std::pair<time_point, boost::json::object>> m_events;
};

/// Applies an order to the state of an engine (model, adapter, version, role and fence).
/// Returns false if the engine checks the fencing number and it is old.
inline bool apply_order(boost::json::object& state, const boost::json::object& order,
                        bool checks_fence)
{
    const double fence = number_or(state, "fence", 0);
    if (checks_fence && order.at("fence").to_number<double>() < fence)
    {
        return false;
    }
    for (const char* name : {"fence", "model", "adapter", "version", "role"})
    {
        if (const auto* value = order.if_contains(name))
        {
            state[name] = *value;
        }
    }
    return true;
}

} // namespace geraniumdoor
