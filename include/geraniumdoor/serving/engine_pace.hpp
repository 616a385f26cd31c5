#pragma once

#include <geraniumdoor/serving/engine_choice.hpp>

namespace geraniumdoor::serving
{

/// How long the first tokens of a pool's engines take, relative to what the usual figures
/// for a prompt and a load give.
struct engine_pace
{
    double m_ratio = 1;
    double m_samples = 0;
};

/// Range of a single engine's time relative to its pool's.
inline constexpr double min_engine_slowness = 0.3;
inline constexpr double max_engine_slowness = 8;

/// Records the time of a first token.
///
/// Load pattern: engines of a deployment read prompts faster or slower than those of
/// others, and differ among themselves, while prompts have from a hundred to fifty
/// thousand tokens. A time says something of the engine only in relation to the prompt,
/// what was cached of it, and what ran beside it.
/// @param expected_ms time for the prompt at an engine of usual speed with that load
/// @return how slow the engine was relative to its pool
double record_first_token(engine_pace& pace, double expected_ms, double elapsed_ms);

} // namespace geraniumdoor::serving
