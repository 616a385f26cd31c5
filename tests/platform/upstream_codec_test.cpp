#include "fuzz_support.hpp"
#include "testing.hpp"

#include <geraniumdoor/platform/stream_reader.hpp>
#include <geraniumdoor/platform/upstream_codec.hpp>

#include <rapidcheck.h>

using namespace geraniumdoor;

namespace
{

constexpr std::string_view answer =
    R"({"request_id":"n1.5.9","stage":2,"attempt":1,"incarnation":44,"output":{"a":[1]}})";
constexpr std::string_view head =
    R"({"request_id":"n1.5.9","stage":2,"attempt":1,"incarnation":44})";
constexpr std::string_view load =
    R"({"incarnation":44,"state":"cold","outstanding":3,"sustained":2})";

stage_call some_call()
{
    stage_call call;
    call.m_key = {{node_id{"n1"}, incarnation{5}, 9}, {2}, {1}};
    call.m_operation = "debit";
    call.m_input = R"({"amount":3})";
    return call;
}

stream_reader some_reader(std::vector<std::string> delivered, std::string& seen)
{
    return stream_reader{expected_echo(some_call().m_key), delivered,
                         [&seen](std::uint32_t, std::string_view token)
                         {
                             seen += token;
                         }};
}

} // namespace

// Guards against an answer of another request that reaches a caller, and against crashes
// on malformed answers.
TestSuite(upstream_codec);

Test(upstream_codec, encodes_a_call)
{
    const auto body = encode_run(some_call());
    cr_assert(is_ok(body));
    EXPECT_EQUAL(value_of(body),
                 R"({"request_id":"n1.5.9","stage":2,"attempt":1,"operation":"debit",)"
                 R"("input":{"amount":3},"tokens":[]})");
}

Test(upstream_codec, refuses_to_encode_an_input_that_is_not_json)
{
    auto call = some_call();
    call.m_input = "{";
    cr_expect(not is_ok(encode_run(call)));
}

Test(upstream_codec, reads_the_echo_and_the_output)
{
    const auto decoded = decode_run_answer(answer);
    cr_assert(is_ok(decoded));
    cr_expect(value_of(decoded).m_echo == expected_echo(some_call().m_key));
    EXPECT_EQUAL(value_of(decoded).m_output, R"({"a":[1]})");
    EXPECT_EQUAL(value_of(decoded).m_incarnation.m_value, 44u);
}

Test(upstream_codec, reads_load_reports)
{
    const auto report = decode_load_report(upstream_id{"llm-01"}, load);
    cr_assert(is_ok(report));
    cr_expect(value_of(report).m_cold);
    EXPECT_EQUAL(value_of(report).m_sustained, 2u);
    cr_expect(not is_ok(decode_load_report(
        upstream_id{"llm-01"}, R"({"incarnation":1,"state":"?","outstanding":0})")));
}

Test(upstream_codec, refuses_truncated_texts)
{
    EXPECT_EQUAL(accepted_prefixes(answer,
                                   [](std::string_view text)
                                   {
                                       return is_ok(decode_run_answer(text));
                                   }),
                 0u);
    EXPECT_EQUAL(accepted_prefixes(head,
                                   [](std::string_view text)
                                   {
                                       return is_ok(decode_stream_line(text));
                                   }),
                 0u);
}

Test(upstream_codec, survives_random_and_damaged_bytes)
{
    const bool held = rc::check(
        [](const std::string& noise, std::size_t position, char byte)
        {
            decode_run_answer(noise);
            decode_stream_line(noise);
            decode_load_report(upstream_id{"u"}, noise);
            decode_run_answer(with_byte(std::string{answer}, position, byte));
            decode_stream_line(with_byte(R"({"index":1,"token":"x"})", position, byte));
            decode_load_report(upstream_id{"u"},
                               with_byte(std::string{load}, position, byte));
        });
    cr_expect(held);
}

Test(upstream_codec, survives_deep_nesting)
{
    cr_expect(not is_ok(decode_stream_line(std::string(100'000, '['))));
    cr_expect(not is_ok(decode_run_answer(std::string(100'000, '{'))));
}

// Guards against tokens of another request, lost, repeated and reordered tokens, and
// streams that are taken for whole without their last line.
TestSuite(stream_reader);

Test(stream_reader, passes_on_the_tokens_of_a_whole_stream)
{
    std::string seen;
    auto reader = some_reader({"a"}, seen);
    cr_expect(reader.read_line(head));
    cr_expect(reader.read_line(R"({"index":1,"token":"b"})"));
    cr_expect(reader.state() == stream_state::running);
    cr_expect(reader.read_line(R"({"done":true,"tokens":2})"));
    cr_expect(reader.state() == stream_state::whole);
    EXPECT_EQUAL(seen, "b");
    EXPECT_EQUAL(reader.text(), "ab");
    EXPECT_EQUAL(reader.token_count(), 2u);
}

Test(stream_reader, passes_on_nothing_without_the_right_echo)
{
    for (const std::string_view first :
         {R"({"request_id":"n1.5.8","stage":2,"attempt":1,"incarnation":44})",
          R"({"request_id":"n1.5.9","stage":1,"attempt":1,"incarnation":44})",
          R"({"request_id":"n1.5.9","stage":2,"attempt":2,"incarnation":44})",
          R"({"index":0,"token":"b"})", R"({"done":true,"tokens":0})", "x", ""})
    {
        std::string seen;
        auto reader = some_reader({}, seen);
        cr_expect(not reader.read_line(first));
        cr_expect(reader.state() == stream_state::wrong);
        cr_expect(not reader.read_line(head));
        cr_expect(not reader.read_line(R"({"index":0,"token":"b"})"));
        cr_expect(seen.empty());
    }
}

Test(stream_reader, refuses_gaps_repeats_and_wrong_counts)
{
    for (const std::string_view second :
         {R"({"index":1,"token":"b"})", R"({"done":true,"tokens":1})",
          R"({"done":false,"tokens":0})", R"({"index":-1,"token":"b"})",
          R"({"index":0})"})
    {
        std::string seen;
        auto reader = some_reader({}, seen);
        cr_expect(reader.read_line(head));
        cr_expect(not reader.read_line(second));
        cr_expect(seen.empty());
    }
}

Test(stream_reader, refuses_lines_after_the_end)
{
    std::string seen;
    auto reader = some_reader({}, seen);
    cr_expect(reader.read_line(head));
    cr_expect(reader.read_line(R"({"done":true,"tokens":0})"));
    cr_expect(not reader.read_line(R"({"index":0,"token":"b"})"));
    cr_expect(reader.state() == stream_state::wrong);
}

Test(stream_reader, survives_random_lines)
{
    const bool held = rc::check(
        [](const std::vector<std::string>& lines)
        {
            std::string seen;
            auto reader = some_reader({}, seen);
            for (const auto& line : lines)
            {
                reader.read_line(line);
            }
            RC_ASSERT(seen.empty());
        });
    cr_expect(held);
}
