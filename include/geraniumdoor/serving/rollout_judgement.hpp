#pragma once

#include <geraniumdoor/base/units.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace geraniumdoor::serving
{

/// Number of groups in which the upstreams of a new version are counted.
inline constexpr std::uint8_t version_groups = 4;

/// Answers of a route from the upstreams of a group.
struct count_key
{
    /// Hash of the route's name.
    std::uint32_t m_route = 0;
    /// 0 for the versions in force, 1 to version_groups for the new version.
    std::uint8_t m_group = 0;

    auto operator<=>(const count_key&) const = default;
};

struct answer_count
{
    std::uint32_t m_answers = 0;
    std::uint32_t m_faults = 0;
    std::uint32_t m_slow = 0;

    bool operator==(const answer_count&) const = default;
};

using answer_counts = std::map<count_key, answer_count>;

/// How an answer was.
enum class answer_quality : std::uint8_t
{
    sound,
    slow,
    faulty,
};

const char* to_text(answer_quality quality);

/// Counts an answer. Routes beyond a number are counted together.
void count_answer(answer_counts& counts, count_key key, answer_quality quality);

void add_counts(answer_counts& sum, const answer_counts& counts);

/// Counts that came since an earlier sum.
answer_counts counts_since(const answer_counts& sum, const answer_counts& earlier);

/// Answers of the new version, on all routes.
answer_count count_new_version(const answer_counts& counts);

/// Whether the new version's answers are worse than those of the versions in force, on a
/// route or on all together. What both share, and what one group of upstreams has alone,
/// does not make a version bad.
bool is_bad_version(const answer_counts& counts);

/// Whether a version must be left for the number of its bad answers alone.
///
/// The operators allow no request some seconds after the 50th bad answer.
bool has_too_many_bad_answers(const answer_counts& counts);

/// Times of answers of the versions in force on a route, as moving averages.
struct usual_time
{
    double m_first_byte_ms = 0;
    double m_rest_ms = 0;
};

/// Time of one answer.
struct answer_time
{
    /// Zero if it is not known.
    double m_first_byte_ms = 0;
    /// From the first to the last byte; negative if the answer is not complete.
    double m_rest_ms = -1;
    /// Time that an engine needs to read the whole prompt; zero for other upstreams.
    double m_reading_ms = 0;
};

/// Whether an answer takes several times as long as usual. An engine of a new version may
/// take as long as it takes to read the whole prompt.
bool is_slow(const answer_time& taken, const usual_time& usual);

void record_usual_time(usual_time& usual, const answer_time& taken);

} // namespace geraniumdoor::serving
