#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/serving/host_table.hpp>
#include <geraniumdoor/serving/send_account.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;
using namespace std::chrono_literals;

namespace
{

const time_point start = time_point{} + 100s;
const upstream_run run{7};

/// Bound of the platform, for the requests of all hosts.
constexpr milliseconds contact_time{3000};
constexpr milliseconds bound_window{4000};
constexpr double limit_factor = 1.5;
constexpr double limit_slack = 5;

constexpr milliseconds ask_timeout{80};
constexpr milliseconds unanswered_wait{200};
constexpr milliseconds response_time{50};
constexpr double loss = 0.03;

struct simulated_host
{
    send_account m_account;
    permit_ledger m_ledger;
    host_table m_others;
    host_report m_report;
    bool m_runs = true;
    /// Hosts with different numbers are partitioned from each other.
    int m_side = 0;
};

/// Hosts with work for one upstream that names a limit, and the messages between them.
class limited_fleet
{
public:
    limited_fleet(std::size_t hosts, double per_s, std::uint64_t seed)
        : m_random{seed}, m_hosts(hosts), m_limit{requests_per_s{per_s}}
    {
        const milliseconds interval = report_interval(hosts, false);
        for (std::size_t at = 0; at < hosts; ++at)
        {
            host_report& report = m_hosts[at].m_report;
            report.m_node.m_value = "host-" + std::to_string(1000 + at);
            report.m_incarnation.m_value = 1;
            report.m_interval_ms = static_cast<std::uint16_t>(interval.count());
            report.m_processor = 250;
            report.m_ready = true;
        }
        for (std::size_t at = 0; at < hosts; ++at)
        {
            schedule(start + std::chrono::duration_cast<duration>(interval *
                                                                  uniform_unit(m_random)),
                     [this, at]
                     {
                         send_report(at);
                     });
        }
        // Demand is above the limit, so that each permit that is not issued is a loss.
        m_demand_per_s = std::max(3 * per_s, 20.0);
        schedule(start + 2s,
                 [this]
                 {
                     next_request();
                 });
    }

    void schedule(time_point at, std::function<void()> call)
    {
        m_events.emplace(at, std::move(call));
    }

    void run_until(time_point end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end)
        {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto call = std::move(first->second);
            m_events.erase(first);
            call();
        }
        m_now = end;
    }

    void kill(std::size_t at)
    {
        simulated_host& host = m_hosts[at];
        host.m_runs = false;
        host.m_account = {};
        host.m_ledger = {};
        host.m_others.m_hosts.clear();
    }

    void restart(std::size_t at)
    {
        m_hosts[at].m_runs = true;
        ++m_hosts[at].m_report.m_incarnation.m_value;
        m_hosts[at].m_report.m_sequence = 0;
        send_report(at);
    }

    std::size_t issuer() const
    {
        const simulated_host& any = *std::find_if(m_hosts.begin(), m_hosts.end(),
                                                  [](const simulated_host& host)
                                                  {
                                                      return host.m_runs;
                                                  });
        return index_of(permit_issuer(any.m_others, any.m_report, run, m_now));
    }

    /// Most arrivals in a window that begins later than contact_time after the limit was
    /// named.
    std::size_t most_arrivals() const
    {
        std::size_t most = 0;
        auto first = std::lower_bound(m_arrivals.begin(), m_arrivals.end(),
                                      m_named_at + contact_time);
        for (; first != m_arrivals.end(); ++first)
        {
            const auto last =
                std::lower_bound(first, m_arrivals.end(), *first + bound_window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    std::size_t arrivals_between(time_point begin, time_point end) const
    {
        return static_cast<std::size_t>(
            std::lower_bound(m_arrivals.begin(), m_arrivals.end(), end) -
            std::lower_bound(m_arrivals.begin(), m_arrivals.end(), begin));
    }

    random_source m_random;
    std::vector<simulated_host> m_hosts;
    /// Limit that the upstream names at the moment.
    std::optional<requests_per_s> m_limit;
    time_point m_now = start;
    time_point m_named_at{};

private:
    duration delay()
    {
        return 1ms + std::chrono::duration_cast<duration>(4ms * uniform_unit(m_random));
    }

    std::size_t index_of(const node_id& id) const
    {
        return std::stoul(id.m_value.substr(id.m_value.find('-') + 1)) - 1000;
    }

    /// Delivers a datagram unless it is lost or a host cannot be reached.
    void send(std::size_t from, std::size_t to, const std::function<void()>& deliver)
    {
        if (uniform_unit(m_random) < loss || m_hosts[from].m_side != m_hosts[to].m_side)
        {
            return;
        }
        schedule(m_now + delay(),
                 [this, to, deliver]
                 {
                     if (m_hosts[to].m_runs)
                     {
                         deliver();
                     }
                 });
    }

    void send_report(std::size_t from)
    {
        simulated_host& own = m_hosts[from];
        if (!own.m_runs)
        {
            return;
        }
        ++own.m_report.m_sequence;
        const limit_statement& known = own.m_account.m_statement;
        const bool is_recent =
            known.m_heard_here &&
            m_now - known.m_stated_at <= 3 * milliseconds{own.m_report.m_interval_ms};
        for (std::size_t to = 0; to < m_hosts.size(); ++to)
        {
            if (to == from)
            {
                continue;
            }
            deliver_report(from, to);
            if (is_recent)
            {
                send_statement(from, to);
            }
        }
        const std::uint64_t incarnation = own.m_report.m_incarnation.m_value;
        schedule(m_now + milliseconds{own.m_report.m_interval_ms},
                 [this, from, incarnation]
                 {
                     if (m_hosts[from].m_report.m_incarnation.m_value == incarnation)
                     {
                         send_report(from);
                     }
                 });
    }

    /// Delivers a report without delay, which saves an event for each pair of hosts.
    void deliver_report(std::size_t from, std::size_t to)
    {
        if (uniform_unit(m_random) < loss || !m_hosts[to].m_runs ||
            m_hosts[from].m_side != m_hosts[to].m_side)
        {
            return;
        }
        const bool is_new =
            apply_report(m_hosts[to].m_others, m_hosts[from].m_report, m_now);
        if (is_new && m_hosts[to].m_account.m_statement.m_limit)
        {
            send_statement(to, from);
        }
    }

    void send_statement(std::size_t from, std::size_t to)
    {
        limit_statement statement = m_hosts[from].m_account.m_statement;
        const duration age = m_now - statement.m_stated_at;
        send(from, to,
             [this, to, statement, age]() mutable
             {
                 statement.m_stated_at = m_now - age;
                 statement.m_heard_here = false;
                 apply_statement(m_hosts[to].m_account, statement);
             });
    }

    void next_request()
    {
        const auto at =
            uniform_below(m_random, static_cast<std::uint32_t>(m_hosts.size()));
        if (m_hosts[at].m_runs)
        {
            begin_request(at);
        }
        const double wait_s = -std::log(1 - uniform_unit(m_random)) / m_demand_per_s;
        schedule(m_now + std::chrono::duration_cast<duration>(
                             std::chrono::duration<double>(wait_s)),
                 [this]
                 {
                     next_request();
                 });
    }

    /// A request that gets no permit goes to another upstream.
    void begin_request(std::size_t at)
    {
        send_account& account = m_hosts[at].m_account;
        switch (decide_send(account, false, m_now))
        {
        case send_decision::allowed:
            take_permit(account, m_now);
            reach_upstream(at);
            return;
        case send_decision::denied:
            return;
        case send_decision::needs_permit:
            break;
        }
        const std::size_t to = index_of(
            permit_issuer(m_hosts[at].m_others, m_hosts[at].m_report, run, m_now));
        const std::uint64_t number = ++m_last_number;
        m_open[number] = at;
        if (to == at)
        {
            answer(number, issue(at));
            return;
        }
        schedule(m_now + ask_timeout,
                 [this, number]
                 {
                     answer(number, {false, unanswered_wait});
                 });
        send(at, to,
             [this, at, to, number]
             {
                 const permit_decision decision = issue(to);
                 send(to, at,
                      [this, number, decision]
                      {
                          answer(number, decision);
                      });
             });
    }

    permit_decision issue(std::size_t at)
    {
        simulated_host& host = m_hosts[at];
        if (index_of(permit_issuer(host.m_others, host.m_report, run, m_now)) != at)
        {
            return {false, unanswered_wait};
        }
        const auto& limit = host.m_account.m_statement.m_limit;
        return limit ? issue_permit(host.m_ledger, *limit,
                                    permit_share(host.m_others, m_now), m_now)
                     : permit_decision{false, unanswered_wait};
    }

    void answer(std::uint64_t number, const permit_decision& decision)
    {
        const auto open = m_open.find(number);
        if (open == m_open.end())
        {
            return;
        }
        const std::size_t at = open->second;
        m_open.erase(open);
        if (!m_hosts[at].m_runs)
        {
            return;
        }
        if (decision.m_granted)
        {
            reach_upstream(at);
        }
        else
        {
            record_denial(m_hosts[at].m_account, decision.m_wait, m_now);
        }
    }

    void reach_upstream(std::size_t from)
    {
        record_send(m_hosts[from].m_account, m_now);
        const time_point sent_at = m_now;
        schedule(m_now + delay(),
                 [this]
                 {
                     m_arrivals.push_back(m_now);
                 });
        schedule(m_now + response_time,
                 [this, from, sent_at]
                 {
                     receive_response(from, sent_at);
                 });
    }

    void receive_response(std::size_t from, time_point sent_at)
    {
        simulated_host& host = m_hosts[from];
        if (!host.m_runs)
        {
            return;
        }
        if (m_limit && m_named_at == time_point{})
        {
            m_named_at = m_now;
        }
        if (record_statement(host.m_account, m_limit, !m_limit, sent_at, m_now))
        {
            for (std::size_t to = 0; to < m_hosts.size(); ++to)
            {
                if (to != from)
                {
                    send_statement(from, to);
                }
            }
        }
    }

    double m_demand_per_s = 0;
    std::multimap<time_point, std::function<void()>> m_events;
    std::map<std::uint64_t, std::size_t> m_open;
    std::uint64_t m_last_number = 0;
    std::vector<time_point> m_arrivals;
};

struct fleet_case
{
    std::size_t m_hosts;
    double m_per_s;
};

std::vector<fleet_case> all_cases()
{
    std::vector<fleet_case> cases;
    for (const std::size_t hosts : {7U, 65U, 195U})
    {
        for (const double per_s : {0.3, 1.0, 10.0, 200.0})
        {
            cases.push_back({hosts, per_s});
        }
    }
    return cases;
}

/// Number from the environment, for runs by hand.
std::uint64_t number_in(const char* name, std::uint64_t fallback)
{
    const char* set = std::getenv(name);
    return set == nullptr ? fallback : std::strtoull(set, nullptr, 10);
}

void for_all_cases(
    const std::function<void(limited_fleet& fleet, const fleet_case& sizes)>& check)
{
    for (const fleet_case& sizes : all_cases())
    {
        const std::uint64_t first = number_in("GD_LIMIT_FIRST", 1);
        const std::uint64_t last = number_in("GD_LIMIT_LAST", first);
        for (std::uint64_t seed = first; seed <= last; ++seed)
        {
            limited_fleet fleet{sizes.m_hosts, sizes.m_per_s, seed};
            check(fleet, sizes);
            const double bound = limit_factor * sizes.m_per_s * to_s(bound_window);
            const auto most = static_cast<double>(fleet.most_arrivals());
            cr_expect(most <= bound + limit_slack,
                      "%zu hosts, %.1f a second, seed %zu: %.0f arrivals", sizes.m_hosts,
                      sizes.m_per_s, static_cast<std::size_t>(seed), most);
        }
    }
}

} // namespace

TestSuite(limit_replay, .timeout = 200);

Test(limit_replay, hosts_use_up_a_limit_and_never_exceed_it)
{
    for_all_cases(
        [](limited_fleet& fleet, const fleet_case& sizes)
        {
            fleet.run_until(start + 30s);
            // Of what the limit takes, some is lost with datagrams.
            constexpr double used_share = 0.75;
            const double taken = sizes.m_per_s * 20;
            const auto got =
                static_cast<double>(fleet.arrivals_between(start + 10s, start + 30s));
            cr_expect(got >= used_share * taken - 2, "%zu hosts, %.1f a second: %.0f",
                      sizes.m_hosts, sizes.m_per_s, got);
        });
}

Test(limit_replay, the_limit_holds_while_the_host_that_issues_permits_is_killed)
{
    for_all_cases(
        [](limited_fleet& fleet, const fleet_case&)
        {
            fleet.run_until(start + 8s);
            for (int round = 0; round < 3; ++round)
            {
                const std::size_t issuer = fleet.issuer();
                fleet.kill(issuer);
                fleet.run_until(fleet.m_now + 4s);
                fleet.restart(issuer);
                fleet.run_until(fleet.m_now + 2s);
            }
            cr_expect(fleet.arrivals_between(start + 8s, fleet.m_now) >= 1);
        });
}

Test(limit_replay, the_limit_holds_while_a_third_of_the_hosts_is_cut_off)
{
    for_all_cases(
        [](limited_fleet& fleet, const fleet_case& sizes)
        {
            fleet.run_until(start + 8s);
            for (std::size_t at = 0; at < sizes.m_hosts / 3; ++at)
            {
                fleet.m_hosts[at].m_side = 1;
            }
            fleet.run_until(start + 18s);
            for (simulated_host& host : fleet.m_hosts)
            {
                host.m_side = 0;
            }
            fleet.run_until(start + 24s);
        });
}

Test(limit_replay, a_limit_that_falls_rises_and_ends_is_followed_by_all_hosts)
{
    for (const std::size_t hosts : {7U, 65U, 195U})
    {
        limited_fleet fleet{hosts, 10, 1};
        fleet.run_until(start + 8s);
        fleet.m_limit = requests_per_s{1};
        fleet.run_until(start + 12s);
        const std::size_t low = fleet.arrivals_between(start + 9s, start + 12s);
        cr_expect(low >= 1 && low <= 5, "%zu hosts: %zu", hosts, low);
        fleet.m_limit = requests_per_s{10};
        fleet.run_until(start + 20s);
        const std::size_t high = fleet.arrivals_between(start + 15s, start + 20s);
        cr_expect(high >= 35 && high <= 52, "%zu hosts: %zu", hosts, high);
        fleet.m_limit.reset();
        fleet.run_until(start + 24s);
        const std::size_t free = fleet.arrivals_between(start + 22s, start + 24s);
        cr_expect(free >= 40, "%zu hosts: %zu", hosts, free);
    }
}
