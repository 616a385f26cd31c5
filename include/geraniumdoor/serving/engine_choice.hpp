#pragma once

#include <geraniumdoor/serving/upstreams.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumdoor::serving
{

/// One part of a prompt. Engines keep the parts that several prompts begin with.
struct prompt_part
{
    std::string m_id;
    std::uint32_t m_tokens = 0;
};

struct prompt
{
    std::vector<prompt_part> m_parts;
    std::uint32_t m_prompt_tokens = 0;
    std::uint32_t m_output_tokens = 0;
};

/// Prompt tokens that an engine reads in one millisecond. Source: the sheet of both
/// users, 48.2.
inline constexpr double prefill_tokens_per_ms = 48.2;

/// Time that each request in progress adds to the next one's first token, in
/// milliseconds: its share of a step and of the prompts read between the steps.
inline constexpr double running_request_ms = 4;

/// Where the inputs of a request lie.
struct input_location
{
    /// Empty when there are none, or they are not made yet.
    data_centre_id m_data_centre;
    std::uint64_t m_bytes = 0;
};

/// Prompts that share fewer tokens than this are cheaper to read again, once in each data
/// centre, than to bring their inputs over.
inline constexpr std::uint64_t single_home_min_tokens = 2000;

std::uint64_t shared_prefix_tokens(const prompt& wanted);

/// Chooses the engine for a prompt.
///
/// Load pattern: prompts of which four fifths are shared parts that take 50 to 300 ms to
/// read when they are not in an engine's memory, with one key at times getting a third of
/// the traffic, and inputs of 3 MB that are costly to bring to another data centre. The
/// last shared part picks an engine by rendezvous hashing, so that all hosts agree
/// without talking; a prompt that shares little has such a home in each data centre. A
/// request goes to another engine when the wait at its home exceeds the time to read the
/// shared parts again.
/// @param tried engines that the request was already sent to
const upstream* choose_engine(const upstream_table& table, const pool_id& pool,
                              const prompt& wanted, const engine_limits& limits,
                              const std::vector<upstream_id>& tried,
                              const input_location& inputs, time_point now);

/// Order in which an engine should admit a prompt, 0 first to 9.
///
/// Load pattern: short prompts that wait behind one of 50,000 tokens, which takes an
/// engine more than a second to read. Shortest first keeps the sum of the waits lowest.
std::uint32_t engine_priority(const prompt& wanted);

/// Time in which an engine with a free slot begins to fetch the inputs of a request. On
/// scale-1 of adf-eggline-grown as many inputs were gone with 120 ms in all as with the
/// first byte of the answer, about 400 ms.
inline constexpr milliseconds fetch_start_delay{60};

/// Requests whose inputs share the link of one upstream at a time.
inline constexpr double concurrent_fetches = 4;

/// Time from the start of a request to the moment at which its inputs may be given back;
/// empty when only the first byte of the answer shows that the engine has them.
///
/// Load pattern: bursts of requests with inputs of 3 MB, at a stage whose upstreams have
/// room for 15 of them. The reading of a prompt takes 100 to 800 ms, in which the inputs
/// held room that others waited for.
/// @param bytes of all inputs
/// @param bytes_per_ms what the link of each maker carries; zero if not known
std::optional<milliseconds> input_fetch_time(const upstream& engine,
                                             const engine_limits& limits,
                                             std::uint64_t bytes, double bytes_per_ms);

/// Time until the first token that choose_engine expects, in milliseconds.
/// @param cached whether the shared parts are taken to be in the engine's memory
double expected_first_token_ms(const upstream& engine, const prompt& wanted, bool cached);

} // namespace geraniumdoor::serving
