#pragma once

#include <geraniumdoor/serving/upstreams.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumdoor::serving
{

/// One part of a prompt. Engines cache the parts that several prompts have in common as
/// a prefix.
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

/// Prompt tokens that an engine of usual speed prefills in one millisecond. What a pool
/// takes instead is learnt from its answers (engine_pace).
inline constexpr double prefill_tokens_per_ms = 48.2;

/// Delay that each request in progress adds to the first token of the next one, in
/// milliseconds: its share of a decoding step and of the prefills between the steps.
inline constexpr double running_request_delay_ms = 4;

/// Data centre and size of the inputs of a request.
struct input_location
{
    /// Empty when the request has no inputs or they have not been produced yet.
    data_centre_id m_data_centre;
    std::uint64_t m_bytes = 0;
};

/// Minimum length of a shared prefix for which one home engine is chosen among all data
/// centres. Prefilling a shorter prefix once in each data centre costs less than
/// transferring the inputs between data centres.
inline constexpr std::uint64_t min_shared_tokens_for_single_home = 2000;

/// Tokens in the parts that other prompts may share: all parts except the last one.
std::uint64_t shared_prefix_tokens(const prompt& request_prompt);

/// Chooses the engine for a prompt.
///
/// Load pattern: four fifths of the prompts consist of shared prefixes that take 50 to
/// 300 ms to prefill when an engine has not cached them; at times a third of the traffic
/// has the same key; and inputs of 3 MB are costly to transfer to another data centre.
/// The last shared part selects a home engine by rendezvous hashing, so that all hosts
/// agree without communication; a prompt with a short shared prefix has one home engine
/// in each data centre. A request goes to another engine when the expected wait at its
/// home engine exceeds the time to prefill the shared prefix again.
/// @param tried engines that the request was already sent to
/// @param version software version that the engine must have; empty for any. New streams
/// avoid a version that only one engine has while another has more, since nobody could
/// take them up if that engine broke them off.
/// @param is_trial chooses among engines of a version that is being tried
const upstream* choose_engine(
    const upstream_table& table, const pool_id& pool, const prompt& request_prompt,
    const engine_limits& limits, const std::vector<upstream_id>& tried,
    const input_location& inputs, time_point now,
    const std::optional<software_version>& version = std::nullopt, bool is_trial = false);

/// Admission priority of a prompt at an engine, from 0, the highest, to 9.
///
/// Load pattern: short prompts that wait behind one of 50,000 tokens, which takes an
/// engine more than a second to prefill. Shortest-job-first minimizes the sum of the
/// waits.
std::uint32_t engine_priority(const prompt& request_prompt);

/// Time within which an engine with a free slot starts to fetch the inputs of a request.
/// Releasing the inputs 120 ms after sending the request loses no more of them than
/// keeping them until the first byte of the response, after about 400 ms.
inline constexpr milliseconds fetch_start_delay{60};

/// Number of requests whose inputs are assumed to be fetched over the link of one
/// upstream at the same time.
inline constexpr double concurrent_fetches = 4;

/// Time from sending a request until its inputs may be released; empty when only the
/// first byte of the response shows that the engine has fetched them.
///
/// Load pattern: bursts of requests with inputs of 3 MB, at a stage whose upstreams have
/// memory for 15 of them. Prefilling a prompt takes 100 to 800 ms; holding the inputs for
/// that time blocks the memory for other requests.
/// @param bytes size of all inputs
/// @param bytes_per_ms bandwidth of the link of each producer; zero if not known
std::optional<milliseconds> input_fetch_time(const upstream& engine,
                                             const engine_limits& limits,
                                             std::uint64_t bytes, double bytes_per_ms);

/// Whether an engine is the one that prompts with this prefix go to while it has time.
bool is_home_engine(const upstream_table& table, const prompt& request_prompt,
                    const upstream& engine, time_point now);

/// The same at an engine of usual speed, with the requests that run there.
double usual_first_token_ms(const upstream& engine, const prompt& request_prompt,
                            bool cached);

/// Expected time to first token, in milliseconds, as choose_engine uses it.
/// @param cached whether the shared prefix is assumed to be in the engine's cache
double expected_first_token_ms(const upstream& engine, const prompt& request_prompt,
                               bool cached);

} // namespace geraniumdoor::serving
