#include "config_keeper_parts.hpp"

#include <geraniumdoor/base/invariant.hpp>
#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/config/config_keeper.hpp>
#include <geraniumdoor/config/configuration_document.hpp>

#include <algorithm>

namespace geraniumdoor
{

namespace
{

/// Urgent states at which those of data centres that are not in the configuration are
/// dropped.
constexpr std::size_t max_urgent_states = max_data_centres;

duration poll_period(const config_keeper& keeper, std::uint32_t live_nodes)
{
    const double groups =
        static_cast<double>(live_nodes) / keeper.m_settings.m_poll_nodes;
    const double scaled = to_ms(keeper.m_settings.m_poll_period) * std::max(1.0, groups);
    return milliseconds{static_cast<std::int64_t>(scaled)};
}

void poll(config_keeper& keeper, const config_peers& peers, time_point now,
          config_actions& actions)
{
    if (keeper.m_poll_call || now < keeper.m_poll_at)
    {
        return;
    }
    const duration period = is_ready(keeper) ? poll_period(keeper, peers.m_live_nodes)
                                             : keeper.m_settings.m_urgent_poll_period;
    keeper.m_poll_at = now + jittered(keeper, period);
    keeper.m_poll_call = next_call(keeper);
    actions.emplace_back(table_read{*keeper.m_poll_call, config_row_key});
}

bool pull_is_due(const config_keeper& keeper, time_point now)
{
    return !keeper.m_pull.m_from ||
           now >= keeper.m_pull.m_sent + keeper.m_settings.m_pull_timeout;
}

void pull_from(config_keeper& keeper, const node_id& peer, time_point now,
               config_actions& actions)
{
    keeper.m_pull.m_from = peer;
    keeper.m_pull.m_sent = now;
    actions.emplace_back(send_config_pull{peer, config_pull{version_of(keeper)}});
}

void mark_fresh(config_keeper& keeper, std::string_view source)
{
    if (!keeper.m_fresh)
    {
        log_event("config_checked")
            .add("source", source)
            .add("version", version_of(keeper));
    }
    keeper.m_fresh = true;
}

void end_poll(config_keeper& keeper, const table_read_end& end, config_actions& actions)
{
    keeper.m_poll_call.reset();
    keeper.m_polled = true;
    if (end.m_row && adopt_row(keeper, *end.m_row, actions))
    {
        settle_from_row(keeper, *end.m_row, actions);
        mark_fresh(keeper, "table_service");
    }
}

/// Without live peers and without the table service nothing newer can be learnt.
void accept_isolation(config_keeper& keeper, const config_peers& peers)
{
    if (!keeper.m_fresh && !peers.m_any && keeper.m_polled)
    {
        mark_fresh(keeper, "isolated");
    }
}

/// Whether the state overrules what is known of its data centre.
bool is_news(const config_keeper& keeper, const urgent_state& state)
{
    const auto* known = keeper.m_urgent.find(state.m_data_centre);
    if (known != nullptr && !overrules(state, known->m_state))
    {
        return false;
    }
    const auto* row = keeper.m_accepted == nullptr
                          ? nullptr
                          : find_data_centre(*keeper.m_accepted, state.m_data_centre);
    if (row != nullptr)
    {
        return overrules(state, stored_state(*row));
    }
    return known != nullptr || keeper.m_urgent.size() < max_urgent_states;
}

void apply_push(config_keeper& keeper, const node_id& from, const config_push& message,
                config_actions& actions)
{
    auto decoded = decode_configuration(message.m_document);
    const bool sound = is_ok(decoded) && value_of(decoded).m_version == message.m_version;
    if (!sound)
    {
        log_event("config_push_refused")
            .add("node", from)
            .add("version", message.m_version)
            .add("reason",
                 is_ok(decoded) ? "version differs" : to_text(error_of(decoded)));
        return;
    }
    put_in_force(keeper, value_of(std::move(decoded)), "peer", actions);
}

} // namespace

config_keeper make_config_keeper(config_keeper_settings settings, random_source random,
                                 time_point now)
{
    config_keeper keeper;
    keeper.m_settings = settings;
    keeper.m_random = random;
    keeper.m_last_event = now;
    keeper.m_poll_at = now;
    keeper.m_store.m_retry_at = now;
    return keeper;
}

bool is_ready(const config_keeper& keeper)
{
    return keeper.m_accepted != nullptr && keeper.m_fresh;
}

config_version version_of(const config_keeper& keeper)
{
    return keeper.m_accepted == nullptr ? config_version{} : keeper.m_accepted->m_version;
}

std::vector<urgent_state> urgent_states(const config_keeper& keeper)
{
    std::vector<urgent_state> states;
    for (const auto& entry : keeper.m_urgent)
    {
        states.push_back(entry.m_row.m_state);
    }
    return states;
}

void note_time(config_keeper& keeper, time_point now)
{
    if (now - keeper.m_last_event > keeper.m_settings.m_pause)
    {
        log_event("config_pause").add("gap_ms", to_ms(now - keeper.m_last_event));
        keeper.m_fresh = false;
        keeper.m_polled = false;
        keeper.m_poll_call.reset();
        keeper.m_poll_at = now;
        keeper.m_pull.m_late_from = keeper.m_pull.m_from;
        keeper.m_pull.m_from.reset();
    }
    keeper.m_last_event = std::max(keeper.m_last_event, now);
}

table_call_id next_call(config_keeper& keeper)
{
    ++keeper.m_last_call.m_value;
    return keeper.m_last_call;
}

duration jittered(config_keeper& keeper, duration length)
{
    const double factor = 0.75 + uniform_unit(keeper.m_random) / 2;
    return duration{static_cast<duration::rep>(length.count() * factor)};
}

void on_tick(config_keeper& keeper, const config_peers& peers, time_point now,
             config_actions& actions)
{
    note_time(keeper, now);
    accept_isolation(keeper, peers);
    poll(keeper, peers, now, actions);
    if (!is_ready(keeper) && peers.m_any && pull_is_due(keeper, now))
    {
        pull_from(keeper, *peers.m_any, now, actions);
    }
    advance_store(keeper, now, actions);
}

void on_peer_version(config_keeper& keeper, const node_id& peer, config_version version,
                     time_point now, config_actions& actions)
{
    note_time(keeper, now);
    if (version > version_of(keeper) && pull_is_due(keeper, now))
    {
        pull_from(keeper, peer, now, actions);
    }
}

void on_urgent_state(config_keeper& keeper, const urgent_state& state, time_point now,
                     config_actions& actions)
{
    note_time(keeper, now);
    if (!is_news(keeper, state))
    {
        return;
    }
    log_event("urgent_state")
        .add("data_centre", state.m_data_centre)
        .add("state", to_text(state.m_state))
        .add("base", state.m_mark.m_base)
        .add("counter", state.m_mark.m_counter)
        .add("change", state.m_mark.m_change)
        .add("operator", state.m_operator);
    const auto delay = keeper.m_settings.m_store_delay;
    const auto store_at = now + delay + jittered(keeper, delay / 2);
    keeper.m_urgent.put(state.m_data_centre, {state, store_at});
    actions.emplace_back(spread_urgent_state{state});
    refresh_in_force(keeper, actions);
    settle_from_history(keeper, actions);
}

void on_config_pull(config_keeper& keeper, const node_id& from,
                    const config_pull& message, time_point now, config_actions& actions)
{
    note_time(keeper, now);
    const config_version version = version_of(keeper);
    const bool newer = version > message.m_have;
    actions.emplace_back(
        send_config_push{from, {version, newer ? keeper.m_document : std::string{}}});
}

void on_config_push(config_keeper& keeper, const node_id& from,
                    const config_push& message, time_point now, config_actions& actions)
{
    note_time(keeper, now);
    const bool late = keeper.m_pull.m_late_from == from;
    if (late)
    {
        keeper.m_pull.m_late_from.reset();
    }
    const bool asked = keeper.m_pull.m_from == from && !late;
    if (asked)
    {
        keeper.m_pull.m_from.reset();
    }
    if (message.m_version > version_of(keeper) && !message.m_document.empty())
    {
        apply_push(keeper, from, message, actions);
    }
    if (asked)
    {
        mark_fresh(keeper, "peer");
    }
}

void on_table_read_end(config_keeper& keeper, const table_read_end& end, time_point now,
                       config_actions& actions)
{
    note_time(keeper, now);
    const bool is_store = keeper.m_store.m_phase == store_phase::reading &&
                          keeper.m_store.m_call == end.m_id;
    if (is_store)
    {
        on_store_row(keeper, end.m_row, now, actions);
    }
    else if (keeper.m_poll_call == end.m_id)
    {
        end_poll(keeper, end, actions);
    }
}

} // namespace geraniumdoor
