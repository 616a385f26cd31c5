#include "testing.hpp"

#include <geraniumdoor/base/packed_text.hpp>
#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/cluster/codec.hpp>

#include <rapidcheck.h>

using namespace geraniumdoor;

namespace
{

stage_call sample_call()
{
    stage_call call;
    call.m_key.m_request = request_id{node_id{"n1"}, incarnation{7}, 3};
    call.m_pool = pool_id{"llm"};
    call.m_input = "input";
    call.m_delivered = {"a", "b"};
    call.m_excluded = {upstream_id{"u1"}};
    return call;
}

datagram sample_datagram()
{
    ping message;
    message.m_target = node_id{"n2"};
    message.m_gossip.m_sender.m_node = node_id{"n1"};
    message.m_gossip.m_sender.m_peer = node_address{"127.0.0.1", 7000};
    message.m_gossip.m_urgent.push_back(
        urgent_state{data_centre_id{"a"}, data_centre_state::out,
                     data_centre_mark{config_version{4}, 1, change_id{"c"}}, "operator"});
    message.m_gossip.m_updates.resize(max_piggybacked_updates);
    return message;
}

std::string body_of(const node_message& message)
{
    return value_of(encode_frame(message)).substr(frame_header_bytes);
}

codec_fault fault_of(std::string_view body)
{
    const auto decoded = decode_frame_body(body);
    cr_assert(not is_ok(decoded));
    return error_of(decoded).m_fault;
}

} // namespace

// Guards against messages that change on the way, and against a peer that crashes a node
// or makes it allocate with bytes that are not a message.
TestSuite(codec);

Test(codec, a_message_arrives_as_it_was_sent)
{
    const auto decoded = decode_frame_body(body_of(sample_call()));
    cr_assert(is_ok(decoded));
    EXPECT_EQUAL(body_of(value_of(decoded)), body_of(sample_call()));
    const datagram sent = sample_datagram();
    const auto received = decode_datagram(value_of(encode_datagram(sent)));
    cr_assert(is_ok(received));
    EXPECT_EQUAL(value_of(received), sent);
}

Test(codec, every_truncation_is_an_error)
{
    const std::string body = body_of(sample_call());
    const std::string bytes = value_of(encode_datagram(sample_datagram()));
    for (std::size_t size = 0; size < body.size(); ++size)
    {
        cr_expect(not is_ok(decode_frame_body(std::string_view{body}.substr(0, size))));
    }
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        cr_expect(not is_ok(decode_datagram(std::string_view{bytes}.substr(0, size))));
    }
}

Test(codec, a_length_beyond_the_body_is_refused_before_it_is_allocated)
{
    std::string text = body_of(config_push{config_version{1}, "document"});
    const std::size_t length_at = text.size() - std::string{"document"}.size() - 8;
    for (std::size_t at = 0; at < 6; ++at)
    {
        text[length_at + at] = '\xff';
    }
    EXPECT_EQUAL(fault_of(text), codec_fault::malformed);
    std::string list = body_of(ownership_announce{node_id{"n"}, {}, 1, {}});
    list[list.size() - 5] = '\x7f';
    EXPECT_EQUAL(fault_of(list), codec_fault::malformed);
}

Test(codec, unknown_versions_types_enumerators_and_trailing_bytes_are_named)
{
    std::string body =
        body_of(attempt_status{attempt_id{"a"}, incarnation{1}, attempt_state::fenced});
    EXPECT_EQUAL(fault_of(body + "x"), codec_fault::trailing_bytes);
    body.back() = '\x02';
    EXPECT_EQUAL(fault_of(body), codec_fault::malformed);
    body[1] = '\x7f';
    EXPECT_EQUAL(fault_of(body), codec_fault::unknown_type);
    body[0] = static_cast<char>(codec_version + 1);
    EXPECT_EQUAL(fault_of(body), codec_fault::unknown_version);
    EXPECT_EQUAL(fault_of(""), codec_fault::truncated);
}

Test(codec, oversized_messages_are_refused_on_both_sides)
{
    const config_push large{config_version{1}, std::string(max_frame_body_bytes, 'x')};
    EXPECT_EQUAL(error_of(encode_frame(large)).m_fault, codec_fault::too_large);
    const std::array<unsigned char, frame_header_bytes> header{0, 0x40, 0, 1};
    EXPECT_EQUAL(error_of(decode_frame_header(header)).m_fault, codec_fault::too_large);
    ping wide;
    wide.m_gossip.m_sender.m_node = node_id{std::string(256, 'n')};
    EXPECT_EQUAL(error_of(encode_datagram(wide)).m_fault, codec_fault::too_large);
}

host_report sample_report()
{
    host_report report;
    report.m_node = node_id{"edge-a-1"};
    report.m_incarnation = incarnation{7};
    report.m_sequence = 3;
    report.m_data_centre = data_centre_id{"a"};
    report.m_peer = {"10.1.0.3", 7740};
    report.m_caller = {"10.1.0.3", 8625};
    report.m_ready = true;
    report.m_loads.push_back({17, 3, 4000});
    report.m_waits.push_back({18, 200, 900});
    report.m_interval_ms = 400;
    report.m_store_access = store_access::reading;
    report.m_queues.push_back(19);
    report.m_region = region_id{"r"};
    report.m_tunnel_port = 7741;
    report.m_unreached.push_back(20);
    return report;
}

crash_report sample_crash_report()
{
    crash_report report;
    report.m_sightings.push_back({suspect_kind::whole_request, 17, 18, 400, 2});
    report.m_successes.push_back({17, 3000});
    report.m_quarantines.push_back({suspect_kind::prompt_part, 19, 5000, -200, 2});
    return report;
}

rollout_report sample_rollout_report()
{
    rollout_report report;
    report.m_node = node_id{"host-1"};
    report.m_incarnation = incarnation{5};
    report.m_sequence = 30;
    report.m_pool = "engines";
    report.m_version = "v2";
    report.m_order = 31;
    report.m_phase = 2;
    report.m_counts.push_back({32, 1, 40, 2, 1});
    report.m_unproven.emplace_back("v3");
    return report;
}

/// Messages of edge hosts, each with its variable parts filled.
std::vector<node_message> edge_messages()
{
    pieces_request request;
    request.m_job = 3;
    request.m_pool = pool_id{"stage"};
    request.m_pieces = 2;
    state_push push;
    push.m_intent.m_rows.push_back({"config", "text", {4}, false, false});
    push.m_registry.m_rows.push_back({"w1", "", {5}, true, false});
    return {request,
            pieces_result{3, pieces_outcome::done, {"10.0.0.1:1/a", "10.0.0.1:1/b"}, 0},
            pieces_announce{3, pool_id{"stage"}, 2, 100},
            pieces_forecast{3, 100, 200},
            pieces_cancel{3, pool_id{"stage"}},
            results_release{pool_id{"stage"}, {"10.0.0.1:1/a"}},
            state_pull{},
            push,
            host_probe{true}};
}

Test(codec, messages_of_edge_hosts_arrive_as_they_were_sent_and_never_in_part)
{
    for (const node_message& message : edge_messages())
    {
        const std::string body = body_of(message);
        const auto decoded = decode_frame_body(body);
        cr_assert(is_ok(decoded));
        EXPECT_EQUAL(value_of(decoded).index(), message.index());
        EXPECT_EQUAL(body_of(value_of(decoded)), body);
        for (std::size_t length = 0; length < body.size(); ++length)
        {
            cr_expect(not is_ok(decode_frame_body(body.substr(0, length))));
        }
    }
    for (const datagram& report :
         {datagram{sample_report()}, datagram{sample_crash_report()},
          datagram{upstream_report{{{21, true, 0.5, 30}, {22, false, 0, 7}}, {24}}},
          datagram{permit_request{23, {21, true, 0.5, 30}}},
          datagram{permit_reply{23, false, 900}},
          datagram{origin_report{{{25, "v1", 40}, {26, "", 0}}}},
          datagram{origin_request{27, 25, "engines"}},
          datagram{origin_reply{27, origin_finding::recorded, "v1", 40}},
          datagram{doubt_report{{{28, 40}, {29, 0}}}}, datagram{sample_rollout_report()}})
    {
        const std::string bytes = value_of(encode_datagram(report));
        const auto received = decode_datagram(bytes);
        cr_assert(is_ok(received));
        cr_expect(value_of(received) == report);
        for (std::size_t length = 0; length < bytes.size(); ++length)
        {
            cr_expect(not is_ok(decode_datagram(bytes.substr(0, length))));
        }
    }
}

Test(codec, changed_bytes_of_edge_messages_never_crash)
{
    const bool holds = rc::check(
        [](std::uint32_t seed)
        {
            random_source source{seed};
            const auto change = [&source](std::string text)
            {
                const auto size = static_cast<std::uint32_t>(text.size());
                text[uniform_below(source, size)] =
                    static_cast<char>(uniform_below(source, 256));
                return text;
            };
            for (const node_message& message : edge_messages())
            {
                (void)decode_frame_body(change(body_of(message)));
            }
            (void)decode_datagram(change(value_of(encode_datagram(sample_report()))));
            (void)decode_datagram(
                change(value_of(encode_datagram(sample_crash_report()))));
        });
    cr_expect(holds);
}

Test(codec, changed_and_random_bytes_never_crash)
{
    const bool holds = rc::check(
        [](std::vector<std::uint8_t> noise, std::uint32_t seed)
        {
            const std::string random{noise.begin(), noise.end()};
            // Each type of message gets the random bytes as its body. With a wrong
            // version they would be rejected before they are decoded.
            constexpr auto version = static_cast<char>(codec_version);
            for (std::size_t type = 0; type < std::variant_size_v<node_message>; ++type)
            {
                const std::string head{version, static_cast<char>(type)};
                (void)decode_frame_body(head + random);
            }
            (void)unpack_rows(pack_text(random), 65536);
            for (std::size_t type = 0; type < std::variant_size_v<datagram>; ++type)
            {
                const std::string head{version, static_cast<char>(type)};
                (void)decode_datagram(head + random);
            }
            random_source source{seed};
            std::string body = body_of(sample_call());
            std::string bytes = value_of(encode_datagram(sample_datagram()));
            for (std::string* changed : {&body, &bytes})
            {
                const auto size = static_cast<std::uint32_t>(changed->size());
                (*changed)[uniform_below(source, size)] =
                    static_cast<char>(uniform_below(source, 256));
            }
            (void)decode_frame_body(body);
            (void)decode_datagram(bytes);
        });
    cr_expect(holds);
}
