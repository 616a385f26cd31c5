#pragma once

#include <geraniumdoor/cluster/codec.hpp>
#include <geraniumdoor/cluster/membership.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace geraniumdoor
{

/// Nodes in one process that exchange encoded datagrams with a latency of one step.
class simulated_cluster
{
public:
    static constexpr milliseconds step{10};

    struct node
    {
        std::optional<membership_state> m_state;
        random_source m_random;
        bool m_paused = false;
        std::uint64_t m_bytes = 0;
        membership_actions m_seen;
    };

    /// Nodes take turns through the data centres; each has two per region.
    simulated_cluster(std::size_t count, std::size_t data_centres, std::uint64_t seed)
        : m_data_centres{data_centres}, m_random{seed}, m_nodes(count)
    {
        for (std::size_t at = 0; at < count; ++at)
        {
            m_nodes[at].m_random = random_source{seed, at + 1};
            start(at, 1);
        }
    }

    void start(std::size_t at, std::uint64_t number)
    {
        const std::size_t centre = at % m_data_centres;
        member_update self;
        self.m_node = id(at);
        self.m_incarnation = incarnation{number};
        self.m_data_centre = data_centre_id{"dc-" + std::to_string(centre)};
        self.m_region = region_id{"region-" + std::to_string(centre / 2)};
        self.m_peer = node_address{"127.0.0.1", static_cast<std::uint16_t>(10000 + at)};
        self.m_caller = node_address{"127.0.0.1", static_cast<std::uint16_t>(20000 + at)};
        self.m_admin = node_address{"127.0.0.1", static_cast<std::uint16_t>(30000 + at)};
        m_nodes[at].m_state = make_membership({}, self, m_now);
        set_hints(*m_nodes[at].m_state, {{{}, {"127.0.0.1", 10000}},
                                         {{}, {"127.0.0.1", 10001}},
                                         {{}, {"127.0.0.1", 10002}}});
    }

    static node_id id(std::size_t at)
    {
        return node_id{"node-" + std::to_string(at)};
    }

    void run(milliseconds length)
    {
        for (milliseconds left = length; left.count() > 0; left -= step)
        {
            advance();
        }
    }

    /// Returns the time until the condition held, or nothing.
    std::optional<milliseconds> run_until(milliseconds limit,
                                          const std::function<bool()>& condition)
    {
        for (milliseconds passed{0}; passed < limit; passed += 5 * step)
        {
            if (condition())
            {
                return passed;
            }
            run(5 * step);
        }
        return std::nullopt;
    }

    /// Whether all nodes that run list exactly the nodes that run and are not in skipped.
    bool agree() const
    {
        std::size_t running = 0;
        for (const node& each : m_nodes)
        {
            running += each.m_state ? 1 : 0;
        }
        for (const node& each : m_nodes)
        {
            if (each.m_state && live_count(*each.m_state) != running)
            {
                return false;
            }
        }
        return true;
    }

    std::size_t count_actions(const std::function<bool(const membership_action&)>& is)
    {
        std::size_t found = 0;
        for (const node& each : m_nodes)
        {
            for (const auto& action : each.m_seen)
            {
                found += is(action) ? 1 : 0;
            }
        }
        return found;
    }

    std::size_t m_data_centres;
    random_source m_random;
    std::vector<node> m_nodes;
    time_point m_now{seconds{1000}};
    double m_loss = 0;
    /// Whether a datagram between two nodes passes; empty when all do.
    std::function<bool(std::size_t from, std::size_t to)> m_passes;

private:
    struct in_flight
    {
        std::size_t m_from;
        std::size_t m_to;
        std::string m_bytes;
    };

    void advance()
    {
        m_now += step;
        ++m_steps;
        std::vector<in_flight> due;
        due.swap(m_flying);
        for (const in_flight& sent : due)
        {
            deliver(sent);
        }
        for (std::size_t at = 0; at < m_nodes.size(); ++at)
        {
            node& each = m_nodes[at];
            if (each.m_state && !each.m_paused && (m_steps + at) % 5 == 0)
            {
                membership_actions actions;
                tick_membership(*each.m_state, m_now, each.m_random, actions);
                execute(at, actions);
            }
        }
    }

    void deliver(const in_flight& sent)
    {
        node& to = m_nodes[sent.m_to];
        const bool cut = m_passes && !m_passes(sent.m_from, sent.m_to);
        if (!to.m_state || to.m_paused || cut || uniform_unit(m_random) < m_loss)
        {
            return;
        }
        const auto message = decode_datagram(sent.m_bytes);
        const node_address from{"127.0.0.1",
                                static_cast<std::uint16_t>(10000 + sent.m_from)};
        membership_actions actions;
        receive_datagram(*to.m_state, value_of(message), from, m_now, actions);
        execute(sent.m_to, actions);
    }

public:
    void execute(std::size_t at, const membership_actions& actions)
    {
        for (const membership_action& action : actions)
        {
            if (const auto* send = std::get_if<send_datagram>(&action))
            {
                auto bytes = value_of(encode_datagram(send->m_message));
                m_nodes[at].m_bytes += bytes.size();
                const std::size_t to = send->m_to.m_port - std::size_t{10000};
                if (to < m_nodes.size())
                {
                    m_flying.push_back({at, to, std::move(bytes)});
                }
            }
            else if (const auto* behind = std::get_if<configuration_behind>(&action))
            {
                // Stands for the pull over TCP.
                set_config_version(*m_nodes[at].m_state, behind->m_version);
            }
            else
            {
                m_nodes[at].m_seen.push_back(action);
            }
        }
    }

private:
    std::size_t m_steps = 0;
    std::vector<in_flight> m_flying;
};

} // namespace geraniumdoor
