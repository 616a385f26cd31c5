#pragma once

#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/rollouts.hpp>

#include <functional>
#include <string>
#include <vector>

namespace geraniumdoor::test
{

/// How one request ends at an upstream.
struct replayed_answer
{
    bool m_is_faulty = false;
    /// Multiple of the usual time.
    double m_slowness = 1;
};

/// What a request of the replay is.
struct replayed_request
{
    std::string m_route;
    bool m_is_new_version = false;
    /// Number of the upstream among those of its version.
    std::size_t m_upstream = 0;
    /// Time since the order.
    milliseconds m_age{0};
    /// Share of requests that go to the new version at the host.
    double m_share = 0;
};

/// Hosts that follow one order, with requests that arrive evenly. Reports reach each host
/// with a probability. Has no network and no clock of its own.
struct rollout_fleet
{
    struct host
    {
        host_report m_report;
        serving::rollout_table m_table;
        serving::upstream_table m_upstreams;
        std::uint32_t m_sequence = 0;
        bool m_is_up = true;
        bool m_is_connected = true;
        time_point m_next_report{};
        serving::usual_time m_usual;
    };

    static constexpr std::size_t version_size = 20;

    rollout_fleet(std::size_t hosts, milliseconds length, std::uint32_t seed)
        : m_random{seed}
    {
        m_order.m_pool.m_value = "engine";
        m_order.m_version.m_value = "v2";
        m_order.m_duration = length;
        m_order.m_id = make_store_version({1}, 100);
        for (std::size_t at = 0; at < hosts; ++at)
        {
            add_host(true);
        }
    }

    host& add_host(bool sees_order)
    {
        host& added = m_hosts.emplace_back();
        added.m_report.m_node.m_value = "h" + std::to_string(m_hosts.size());
        added.m_report.m_incarnation.m_value = ++m_starts;
        for (const std::string version : {"v1", "v2"})
        {
            for (std::size_t at = 0; at < version_size; ++at)
            {
                serving::upstream_entry entry;
                entry.m_id.m_value = version + "-" + std::to_string(at);
                entry.m_pool = m_order.m_pool;
                entry.m_version.m_value = version;
                serving::apply_entry(added.m_upstreams, entry, m_now);
            }
        }
        serving::apply_order(added.m_table, m_order, sees_order, m_now);
        serving::apply_rollouts(added.m_table, added.m_upstreams, m_limits, true, m_now);
        return added;
    }

    serving::rollout& order_of(host& at)
    {
        return at.m_table.m_orders.at(m_order.m_pool);
    }

    std::uint32_t random_below(std::uint32_t bound)
    {
        return uniform_below(m_random, bound);
    }

    void send(host& from)
    {
        const auto report = serving::make_rollout_report(order_of(from), from.m_report,
                                                         ++from.m_sequence, 0, m_now);
        constexpr std::uint32_t percent = 100;
        for (host& to : m_hosts)
        {
            const bool arrives = &to != &from && to.m_is_up && to.m_is_connected &&
                                 from.m_is_connected &&
                                 random_below(percent) >= m_loss_percent;
            if (arrives)
            {
                serving::apply_rollout_report(to.m_table, report, m_now);
                // A datagram may arrive twice.
                serving::apply_rollout_report(to.m_table, report, m_now);
            }
        }
    }

    static std::vector<const serving::upstream*> usable_upstreams(const host& at,
                                                                  bool is_trial)
    {
        std::vector<const serving::upstream*> usable;
        for (const auto& [id, row] : at.m_upstreams.m_rows)
        {
            if (serving::accepts_work(at.m_upstreams, row) &&
                serving::is_in_use(row, std::nullopt, is_trial))
            {
                usable.push_back(&row);
            }
        }
        return usable;
    }

    void serve_request(host& at)
    {
        const std::string id = "r" + std::to_string(++m_requests);
        const std::string route = m_routes[m_requests % m_routes.size()];
        serving::rollout& entry = order_of(at);
        const bool is_selected = serving::is_selected(entry, m_limits, id);
        auto usable = usable_upstreams(at, is_selected);
        if (usable.empty())
        {
            usable = usable_upstreams(at, false);
        }
        if (usable.empty())
        {
            ++m_unserved;
            return;
        }
        const serving::upstream& row =
            *usable[random_below(static_cast<std::uint32_t>(usable.size()))];
        const serving::upstream_entry& chosen = row.m_entry;
        replayed_request request;
        request.m_route = route;
        request.m_is_new_version = chosen.m_version == m_order.m_version;
        request.m_upstream = std::stoul(chosen.m_id.m_value.substr(3));
        request.m_age = std::chrono::duration_cast<milliseconds>(m_now - m_start);
        request.m_share = serving::trial_share(entry, m_limits);
        const replayed_answer answer = m_answer(request);
        constexpr double usual_ms = 100;
        const serving::answer_time taken{usual_ms * answer.m_slowness, -1, 0};
        const auto quality = answer.m_is_faulty ? serving::answer_quality::faulty
                             : serving::is_slow(taken, at.m_usual)
                                 ? serving::answer_quality::slow
                                 : serving::answer_quality::sound;
        const auto group = row.m_version_group;
        const auto key = static_cast<std::uint32_t>(stable_hash(route));
        serving::count_answer(entry.m_counts, {key, group}, quality);
        if (group == 0 && !answer.m_is_faulty)
        {
            serving::record_usual_time(at.m_usual, taken);
        }
        m_exposed += request.m_is_new_version && request.m_age < m_order.m_duration;
        m_served += request.m_age < m_order.m_duration;
        const bool is_bad = quality != serving::answer_quality::sound;
        m_bad += request.m_is_new_version && is_bad;
        m_fiftieth_bad_at =
            m_bad == 50 && !m_fiftieth_bad_at ? std::optional{m_now} : m_fiftieth_bad_at;
        m_last_exposure = request.m_is_new_version ? m_now : m_last_exposure;
    }

    /// Runs the fleet for a time.
    void run(milliseconds length, double requests_per_s)
    {
        const time_point end = m_now + length;
        while (m_now < end)
        {
            m_now += step;
            m_due += requests_per_s * to_s(step);
            for (; m_due >= 1; m_due -= 1)
            {
                host& at =
                    m_hosts[random_below(static_cast<std::uint32_t>(m_hosts.size()))];
                if (at.m_is_up)
                {
                    serve_request(at);
                }
            }
            for (host& at : m_hosts)
            {
                if (at.m_is_up)
                {
                    update(at);
                }
            }
        }
    }

    void update(host& at)
    {
        serving::rollout_view view;
        view.m_is_connected = at.m_is_connected;
        view.m_upstreams = version_size;
        view.m_others = version_size;
        view.m_drain_time = m_drain_time;
        const bool has_changed = serving::advance(order_of(at), view, m_now);
        serving::apply_rollouts(at.m_table, at.m_upstreams, m_limits, at.m_is_connected,
                                m_now);
        if (has_changed || m_now >= at.m_next_report)
        {
            at.m_next_report = m_now + report_interval;
            send(at);
        }
    }

    bool all_in(serving::rollout_phase phase)
    {
        for (host& at : m_hosts)
        {
            if (at.m_is_up && order_of(at).m_phase != phase)
            {
                return false;
            }
        }
        return true;
    }

    /// The users' bound on what a bad version gets.
    bool is_exposure_kept() const
    {
        constexpr double extra = 50;
        constexpr seconds rollback_time{5};
        const bool is_share_kept =
            m_exposed <= m_limits.m_exposure * static_cast<double>(m_served) + extra;
        const bool is_left_in_time =
            !m_fiftieth_bad_at || m_last_exposure <= *m_fiftieth_bad_at + rollback_time;
        return is_share_kept && is_left_in_time;
    }

    static constexpr milliseconds step{200};
    static constexpr milliseconds report_interval{400};

    serving::rollout_order m_order;
    serving::rollout_limits m_limits;
    std::vector<host> m_hosts;
    std::vector<std::string> m_routes{"a", "b", "c"};
    std::function<replayed_answer(const replayed_request&)> m_answer;
    milliseconds m_drain_time{2500};
    std::uint32_t m_loss_percent = 3;
    random_source m_random;
    time_point m_start{std::chrono::seconds{1000}};
    time_point m_now = m_start;
    time_point m_last_exposure{};
    std::optional<time_point> m_fiftieth_bad_at;
    std::uint64_t m_starts = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_unserved = 0;
    double m_due = 0;
    double m_exposed = 0;
    double m_served = 0;
    std::uint64_t m_bad = 0;
};

} // namespace geraniumdoor::test
