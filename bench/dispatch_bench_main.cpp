#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/dispatch/dispatcher.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

// Prints the time of one dispatch decision for several numbers of upstreams of one pool,
// the worst case, with calls of 24 pipelines, as key=value lines.

using namespace geraniumdoor;

namespace
{

constexpr std::size_t pipelines = 24;
constexpr std::size_t rounds = 20;
constexpr std::size_t calls_in_round = 400;
constexpr std::uint32_t warm_limit = 16;

dispatcher_state make_owner(std::size_t upstreams, time_point now)
{
    dispatcher_state state = make_dispatcher({1}, 20261204);
    std::vector<dispatcher_action> actions;
    const pool_id pool{"generate"};
    set_pools(state, {{pool, stage_kind::generate, 1, warm_limit}}, now, actions);
    std::vector<upstream_record> records;
    for (std::size_t i = 0; i < upstreams; ++i)
    {
        records.push_back({{"engine-" + std::to_string(i)}, pool, {"dc"}, {}, false});
    }
    set_upstreams(state, records, now);
    for (const upstream_record& record : records)
    {
        take_over(state, record.m_id, handover_state{warm_limit, {1}, 0, {}}, now);
        set_authority(state, record.m_id, now + std::chrono::hours{1});
    }
    return state;
}

stage_call make_call(std::uint64_t number)
{
    stage_call call;
    call.m_key.m_request = {node_id{"caller"}, {1}, number};
    call.m_pool.m_value = "generate";
    call.m_pipeline.m_value = "pipeline-" + std::to_string(number % pipelines);
    call.m_workspace.m_value = "workspace-" + std::to_string(number % 5);
    call.m_budget_ms = 3000;
    call.m_input = "prompt of " + call.m_pipeline.m_value + std::string(600, 'p');
    return call;
}

/// Returns microseconds for one decision, the median over the rounds. Each decision
/// includes its log line; calls end between the decisions, untimed.
double decision_us(std::size_t upstreams)
{
    using clock = std::chrono::steady_clock;
    const time_point now = clock::now();
    dispatcher_state state = make_owner(upstreams, now);
    std::vector<double> medians;
    std::uint64_t number = 0;
    for (std::size_t round = 0; round < rounds; ++round)
    {
        clock::duration spent{};
        for (std::size_t i = 0; i < calls_in_round; ++i)
        {
            std::vector<dispatcher_action> actions;
            stage_call call = make_call(++number);
            const auto before = clock::now();
            on_stage_call(state, node_id{"caller"}, std::move(call), now, actions);
            spent += clock::now() - before;
            const auto& started = std::get<start_upstream_call>(actions.front());
            // Half of the calls stay for a while, so that loads differ.
            const std::uint64_t kept = std::min<std::uint64_t>(number, upstreams / 2);
            const upstream_call_id ended{started.m_id.m_value - kept};
            if (state.m_running.find(ended) != nullptr)
            {
                on_upstream_end(state, {ended, true, call_reason::none, {1}, "{}", 0},
                                now, actions);
            }
        }
        medians.push_back(to_ms(spent) * 1000 / calls_in_round);
    }
    std::sort(medians.begin(), medians.end());
    return medians[medians.size() / 2];
}

} // namespace

int main()
{
    std::uint64_t bytes = 0;
    set_log_sink(
        [&](std::string_view line)
        {
            bytes += line.size();
        });
    const std::vector<std::size_t> sizes{12, 54, 216, 860};
    std::vector<double> times;
    for (const std::size_t upstreams : sizes)
    {
        times.push_back(decision_us(upstreams));
        std::printf("upstreams=%zu pipelines=%zu decision_us=%.3f\n", upstreams,
                    pipelines, times.back());
    }
    const double slope = (times.back() - times.front()) /
                         static_cast<double>(sizes.back() - sizes.front());
    std::printf("slope_ns_for_each_upstream=%.3f log_bytes=%llu\n", slope * 1000,
                static_cast<unsigned long long>(bytes));
    return 0;
}
