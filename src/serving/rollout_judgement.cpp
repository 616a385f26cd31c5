#include <geraniumdoor/serving/rollout_judgement.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace geraniumdoor::serving
{

namespace
{

/// Routes that are counted by themselves, so that a report fits a datagram.
constexpr std::size_t max_counted_routes = 8;

/// Least excess of bad answers over what the versions in force have, as a number, in
/// standard deviations and as a share.
constexpr double min_excess_answers = 6;
constexpr double min_excess_deviations = 4.5;
constexpr double min_excess_share = 0.08;

/// Bad answers at which a version that is worse at all is left; the operators' bound is
/// 50, and other hosts have some that were not reported yet.
constexpr std::uint32_t max_bad_answers = 40;
constexpr double min_worse_share = 0.05;

/// Share of bad answers that is assumed while there is nothing to compare with.
constexpr double unknown_bad_share = 0.05;
constexpr std::uint32_t min_compared_answers = 30;

constexpr double slow_factor = 3;
constexpr double slow_reading_factor = 2.5;
/// Answers that take less are not slow, whatever is usual.
constexpr double min_slow_ms = 20;
constexpr double usual_weight = 0.05;

using member = std::uint32_t answer_count::*;

/// Answers of a scope: those of the versions in force, and of each group of the new one.
using groups = std::array<answer_count, version_groups + 1>;

void add(answer_count& sum, const answer_count& count)
{
    sum.m_answers += count.m_answers;
    sum.m_faults += count.m_faults;
    sum.m_slow += count.m_slow;
}

double share_in_force(const answer_count& in_force, member kind)
{
    return in_force.m_answers < min_compared_answers
               ? unknown_bad_share
               : (in_force.*kind + 0.5) / (in_force.m_answers + 1.0);
}

bool is_worse(const answer_count& tried, const answer_count& in_force, member kind)
{
    const double share = share_in_force(in_force, kind);
    const double expected = share * tried.m_answers;
    const double excess = tried.*kind - expected;
    // The share in force is an estimate, too.
    const double variance =
        (expected + 1) *
        (1 + static_cast<double>(tried.m_answers) /
                 std::max<double>(min_compared_answers, in_force.m_answers));
    return excess >= min_excess_answers &&
           excess >= min_excess_deviations * std::sqrt(variance) &&
           excess >= min_excess_share * tried.m_answers;
}

bool is_bad(const groups& counted, member kind)
{
    answer_count all;
    std::size_t used = 0;
    const answer_count* worst = nullptr;
    for (std::size_t at = 1; at < counted.size(); ++at)
    {
        add(all, counted[at]);
        used += counted[at].m_answers > 0 ? 1 : 0;
        worst =
            worst == nullptr || counted[at].*kind > worst->*kind ? &counted[at] : worst;
    }
    if (!is_worse(all, counted[0], kind))
    {
        return false;
    }
    if (used < 2)
    {
        return true;
    }
    answer_count others = all;
    others.m_answers -= worst->m_answers;
    others.*kind -= worst->*kind;
    // The rest is a part of the evidence, so that a part of the excess suffices.
    const double share = share_in_force(counted[0], kind);
    const double excess = others.*kind - share * others.m_answers;
    return excess >= min_excess_answers / 2 &&
           excess >= min_excess_share * others.m_answers;
}

} // namespace

const char* to_text(answer_quality quality)
{
    switch (quality)
    {
    case answer_quality::sound:
        return "sound";
    case answer_quality::slow:
        return "slow";
    case answer_quality::faulty:
        return "faulty";
    }
    return "unknown";
}

void count_answer(answer_counts& counts, count_key key, answer_quality quality)
{
    std::set<std::uint32_t> routes;
    for (const auto& [known, count] : counts)
    {
        routes.insert(known.m_route);
    }
    if (!routes.contains(key.m_route) && routes.size() >= max_counted_routes)
    {
        key.m_route = 0;
    }
    answer_count& count = counts[key];
    ++count.m_answers;
    count.m_faults += quality == answer_quality::faulty ? 1 : 0;
    count.m_slow += quality == answer_quality::slow ? 1 : 0;
}

void add_counts(answer_counts& sum, const answer_counts& counts)
{
    for (const auto& [key, count] : counts)
    {
        add(sum[key], count);
    }
}

answer_counts counts_since(const answer_counts& sum, const answer_counts& earlier)
{
    answer_counts recent;
    for (const auto& [key, count] : sum)
    {
        const auto before = earlier.find(key);
        const answer_count known =
            before == earlier.end() ? answer_count{} : before->second;
        const auto less = [](std::uint32_t a, std::uint32_t b)
        {
            return a - std::min(a, b);
        };
        recent[key] = {less(count.m_answers, known.m_answers),
                       less(count.m_faults, known.m_faults),
                       less(count.m_slow, known.m_slow)};
    }
    return recent;
}

answer_count count_new_version(const answer_counts& counts)
{
    answer_count sum;
    for (const auto& [key, count] : counts)
    {
        if (key.m_group > 0)
        {
            add(sum, count);
        }
    }
    return sum;
}

bool is_bad_version(const answer_counts& counts)
{
    std::map<std::uint32_t, groups> routes;
    groups all{};
    for (const auto& [key, count] : counts)
    {
        if (key.m_group <= version_groups)
        {
            add(routes[key.m_route][key.m_group], count);
            add(all[key.m_group], count);
        }
    }
    const auto is_bad_scope = [](const groups& counted)
    {
        return is_bad(counted, &answer_count::m_faults) ||
               is_bad(counted, &answer_count::m_slow);
    };
    return is_bad_scope(all) || std::any_of(routes.begin(), routes.end(),
                                            [&](const auto& route)
                                            {
                                                return is_bad_scope(route.second);
                                            });
}

bool has_too_many_bad_answers(const answer_counts& counts)
{
    groups counted{};
    for (const auto& [key, count] : counts)
    {
        if (key.m_group <= version_groups)
        {
            add(counted[key.m_group], count);
        }
    }
    const auto bad_of = [](const answer_count& count)
    {
        return count.m_faults + count.m_slow;
    };
    answer_count all;
    answer_count worst;
    std::size_t used = 0;
    for (std::size_t at = 1; at < counted.size(); ++at)
    {
        add(all, counted[at]);
        used += counted[at].m_answers > 0 ? 1 : 0;
        worst = bad_of(counted[at]) > bad_of(worst) ? counted[at] : worst;
    }
    // What one group has alone may be one upstream in trouble.
    const bool leaves_out = used > 1;
    const double answers = all.m_answers - (leaves_out ? worst.m_answers : 0);
    const double bad = bad_of(all) - (leaves_out ? bad_of(worst) : 0);
    const double limit =
        leaves_out ? max_bad_answers * (used - 1.0) / used : max_bad_answers;
    const double usual = share_in_force(counted[0], &answer_count::m_faults) +
                         share_in_force(counted[0], &answer_count::m_slow);
    return bad >= limit && bad >= (usual + min_worse_share) * answers;
}

bool is_slow(const answer_time& taken, const usual_time& usual)
{
    const double first_limit = std::max({min_slow_ms, slow_factor * usual.m_first_byte_ms,
                                         slow_reading_factor * taken.m_reading_ms});
    const double rest_limit = std::max(min_slow_ms, slow_factor * usual.m_rest_ms);
    const bool is_first_slow =
        usual.m_first_byte_ms > 0 && taken.m_first_byte_ms > first_limit;
    return is_first_slow || (usual.m_rest_ms > 0 && taken.m_rest_ms > rest_limit);
}

void record_usual_time(usual_time& usual, const answer_time& taken)
{
    const auto average = [](double& mean, double value)
    {
        mean = mean == 0 ? value : mean + usual_weight * (value - mean);
    };
    if (taken.m_first_byte_ms > 0)
    {
        average(usual.m_first_byte_ms, taken.m_first_byte_ms);
    }
    if (taken.m_rest_ms > 0)
    {
        average(usual.m_rest_ms, taken.m_rest_ms);
    }
}

} // namespace geraniumdoor::serving
