// Prints the sizes of the rows and messages that grow with the size of the system, and
// the time to encode and decode a configuration.

#include <geraniumdoor/cluster/codec.hpp>
#include <geraniumdoor/config/configuration_document.hpp>
#include <geraniumdoor/dispatch/lease_rows.hpp>
#include <geraniumdoor/request/claim_rows.hpp>

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>

namespace
{

using namespace geraniumdoor;

constexpr std::uint32_t pipelines = 24;
constexpr std::uint32_t stages = 4;

/// Four pools, 24 pipelines of four stages, and one demand for each workspace.
configuration make_configuration(std::uint32_t workspaces)
{
    configuration config;
    config.m_version = {1};
    config.m_change = {"change-1"};
    config.m_operator = "operator";
    data_centre_config data_centre;
    data_centre.m_id = {"centre-1"};
    data_centre.m_region = {"region-1"};
    config.m_data_centres.push_back(data_centre);
    for (std::uint32_t at = 0; at < stages; ++at)
    {
        pool_config pool;
        pool.m_id = {"pool-" + std::to_string(at)};
        pool.m_workers = 215;
        pool.m_service_time = milliseconds{50};
        config.m_pools.push_back(pool);
    }
    for (std::uint32_t at = 0; at < pipelines; ++at)
    {
        pipeline_config pipeline;
        pipeline.m_id = {"pipeline-" + std::to_string(at)};
        for (std::uint32_t stage = 0; stage < stages; ++stage)
        {
            const std::string name = "stage-" + std::to_string(stage);
            stage_config row;
            row.m_name = name;
            row.m_pool = config.m_pools[stage].m_id;
            row.m_operation = "run";
            pipeline.m_stages.push_back(row);
        }
        config.m_pipelines.push_back(pipeline);
    }
    for (std::uint32_t at = 0; at < workspaces; ++at)
    {
        const workspace_id workspace{"workspace-" + std::to_string(at)};
        const pipeline_id pipeline{"pipeline-" + std::to_string(at % pipelines)};
        config.m_workspaces.push_back({workspace, 1, 1});
        config.m_demands.push_back({workspace, pipeline, 1, 1});
    }
    return config;
}

double milliseconds_of(const std::function<void()>& work)
{
    constexpr int rounds = 5;
    const auto begin = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round)
    {
        work();
    }
    return to_ms(std::chrono::steady_clock::now() - begin) / rounds;
}

void print_configuration(std::uint32_t workspaces)
{
    const configuration config = make_configuration(workspaces);
    const std::string document = encode_configuration(config);
    const double encode_ms = milliseconds_of(
        [&]
        {
            encode_configuration(config);
        });
    const double decode_ms = milliseconds_of(
        [&]
        {
            decode_configuration(document);
        });
    std::printf("workspaces=%u config_bytes=%zu encode_ms=%.2f decode_ms=%.2f\n",
                workspaces, document.size(), encode_ms, decode_ms);
}

std::size_t frame_bytes(const node_message& message)
{
    return value_of(encode_frame(message)).size();
}

void print_rows()
{
    const lease_row lease{
        {"node-100"},
        {1796354145790},
        5000,
        milliseconds{30'000},
        {{{"node-101"}, {1796354145791}}, {{"node-102"}, {1796354145792}}}};
    const owner_row owner{{"node-100.1796354145790"}, {3}, true};
    claim_row claim;
    claim.m_attempt = {"node-100.1796354145790.77"};
    claim.m_holder = {"node-100"};
    claim.m_body = std::string(200, 'x');
    std::printf("lease_row_bytes=%zu owner_row_bytes=%zu "
                "claim_row_bytes_with_200_byte_body=%zu\n",
                encode(lease).size(), encode(owner).size(), to_json_text(claim).size());
}

void print_messages()
{
    ownership_announce announce{{"node-100"}, {1796354145790}, 1, {}};
    for (int at = 0; at < 3; ++at)
    {
        announce.m_upstreams.push_back(
            {{"upstream-100"}, {"pool-1"}, {"centre-1"}, {3}, 8});
    }
    stage_call call;
    call.m_key.m_request = {{"node-100"}, {1796354145790}, 1};
    call.m_input = std::string(200, 'x');
    std::printf(
        "announce_bytes_of_3_upstreams=%zu stage_call_bytes_with_200_byte_input=%zu "
        "stage_result_bytes=%zu stage_chunk_bytes=%zu\n",
        frame_bytes(announce), frame_bytes(call), frame_bytes(stage_result{}),
        frame_bytes(stage_chunk{}));
}

} // namespace

int main()
{
    for (const std::uint32_t workspaces : {5U, 50U, 500U, 3400U})
    {
        print_configuration(workspaces);
    }
    print_rows();
    print_messages();
    return 0;
}
