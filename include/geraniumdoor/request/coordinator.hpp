#pragma once

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/base/table.hpp>
#include <geraniumdoor/request/coordinator_actions.hpp>
#include <geraniumdoor/request/owner_selection.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumdoor
{

using coordinator_actions = std::vector<coordinator_action>;

/// One attempt at the current stage that has no result yet.
struct active_attempt
{
    attempt_number m_number;
    node_id m_owner;
    time_point m_sent;
    /// Time at which the coordinator gives up on the attempt.
    time_point m_give_up;
};

/// A request between start_request and its end.
struct active_request
{
    pipeline_request m_request;
    /// The pipeline as it was when the request started.
    std::shared_ptr<const pipeline_config> m_pipeline;
    std::uint32_t m_priority = 1;
    std::uint32_t m_weight = 1;
    stage_index m_stage;
    /// Input of the current stage.
    std::string m_input;
    std::uint32_t m_last_attempt = 0;
    std::vector<active_attempt> m_attempts;
    std::vector<upstream_id> m_used_upstreams;
    std::vector<node_id> m_refusing_owners;
    time_point m_stage_started;
    /// Tokens passed to the caller, in order.
    std::vector<std::string> m_tokens;
    /// Tokens that arrived ahead of a gap, by index.
    std::map<std::uint32_t, std::string> m_early_tokens;
    std::vector<stage_report> m_reports;
};

struct coordinator_counters
{
    std::uint64_t m_superseded_results = 0;
    std::uint64_t m_dropped_chunks = 0;
    std::uint64_t m_retries = 0;
};

/// State of the coordinator of one process. Changed only by the functions below.
struct coordinator
{
    node_id m_node;
    incarnation m_incarnation;
    random_source m_random;
    configuration m_config;
    owner_routes m_routes;
    table<request_id, active_request> m_requests;
    coordinator_counters m_counters;
};

coordinator make_coordinator(const node_id& node, incarnation started,
                             std::uint64_t seed);

/// Runs a request. Exactly one reply_final with its id follows, now or later, unless
/// on_caller_gone is called first.
/// Precondition: the configuration knows the pipeline, and the id is new.
void start_request(coordinator& state, const pipeline_request& request, time_point now,
                   coordinator_actions& actions);

void on_stage_chunk(coordinator& state, const stage_chunk& chunk, time_point now,
                    coordinator_actions& actions);

void on_stage_result(coordinator& state, const stage_result& result, time_point now,
                     coordinator_actions& actions);

void on_attempt_status(coordinator& state, const attempt_status& status, time_point now,
                       coordinator_actions& actions);

/// The connection to an owner broke: calls in progress there have no result.
void on_node_lost(coordinator& state, const node_id& node, time_point now,
                  coordinator_actions& actions);

void on_table_transaction_end(coordinator& state, const table_transaction_end& end,
                              time_point now, coordinator_actions& actions);

void on_table_read_end(coordinator& state, const table_read_end& end, time_point now,
                       coordinator_actions& actions);

/// The caller disconnected: its calls are cancelled and nothing is answered.
void on_caller_gone(coordinator& state, const request_id& id, time_point now,
                    coordinator_actions& actions);

void on_ownership_announce(coordinator& state, const ownership_announce& announce,
                           time_point now, coordinator_actions& actions);

/// Membership declared the node gone: it is no owner any more.
void on_owner_gone(coordinator& state, const node_id& node, time_point now,
                   coordinator_actions& actions);

void set_configuration(coordinator& state, const configuration& config, time_point now);

/// Applies deadlines and timeouts. Called every 50 ms.
void tick(coordinator& state, time_point now, coordinator_actions& actions);

} // namespace geraniumdoor
