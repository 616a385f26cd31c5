#include <geraniumdoor/serving/attempt_rules.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

using namespace geraniumdoor;
using namespace geraniumdoor::serving;

namespace
{

constexpr std::array all_outcomes{
    attempt_outcome::not_sent,      attempt_outcome::declined,
    attempt_outcome::input_gone,    attempt_outcome::wrong_upstream,
    attempt_outcome::answered,      attempt_outcome::answered_with_fault,
    attempt_outcome::unusable,      attempt_outcome::broken,
    attempt_outcome::broken_stream, attempt_outcome::unproven_refusal};

constexpr std::array all_safeties{retry_safety::idempotent, retry_safety::at_most_once,
                                  retry_safety::stream_at_most_once,
                                  retry_safety::stream_resumable};

bool may_have_run(attempt_outcome outcome)
{
    return outcome != attempt_outcome::not_sent && outcome != attempt_outcome::declined &&
           outcome != attempt_outcome::input_gone &&
           outcome != attempt_outcome::wrong_upstream;
}

bool is_final(next_step step)
{
    return step != next_step::try_other && step != next_step::resume_other &&
           step != next_step::prepare_again;
}

bool is_stream(retry_safety safety)
{
    return safety == retry_safety::stream_at_most_once ||
           safety == retry_safety::stream_resumable;
}

/// A request between two attempts, and how it came there.
struct request_model
{
    retry_state m_state;
    std::vector<attempt_outcome> m_attempts;
};

/// Plays every order of attempts of a request, as the relay makes them, and checks what
/// its caller and the upstreams see.
class attempt_model
{
public:
    void play(const request_model& before)
    {
        for (const attempt_outcome outcome : all_outcomes)
        {
            if (can_happen(before.m_state, outcome))
            {
                play_attempt(before, outcome);
            }
        }
    }

    std::size_t paths() const
    {
        return m_paths;
    }

    /// First breach of a promise, with the attempts that lead to it; empty without one.
    const std::string& breach() const
    {
        return m_breach;
    }

private:
    static bool can_happen(const retry_state& state, attempt_outcome outcome)
    {
        if (outcome == attempt_outcome::broken_stream)
        {
            return is_stream(state.m_retry_safety);
        }
        // A whole answer other than the rest of the stream cannot follow its events.
        return !state.m_stream_begun || outcome != attempt_outcome::answered_with_fault;
    }

    void play_attempt(const request_model& before, attempt_outcome outcome)
    {
        // Whether the budget, the time and the prompt allow another attempt.
        constexpr unsigned circumstances = 8;
        for (unsigned bits = 0; bits < circumstances; ++bits)
        {
            request_model after = before;
            retry_state& state = after.m_state;
            after.m_attempts.push_back(outcome);
            (may_have_run(outcome) ? state.m_possible_runs : state.m_not_run_attempts) +=
                1;
            state.m_stream_begun |= outcome == attempt_outcome::broken_stream;
            state.m_has_budget = (bits & 1U) != 0;
            state.m_has_time = (bits & 2U) != 0;
            state.m_may_crash_upstreams = (bits & 4U) != 0;
            const next_step step = decide_next_step(outcome, state);
            check_runs(after);
            if (is_final(step))
            {
                ++m_paths;
                check_end(after, outcome, step);
            }
            else
            {
                check_repeat(after, step);
                play(after);
            }
        }
    }

    void check(bool holds, const char* breach, const request_model& request)
    {
        if (holds || not m_breach.empty())
        {
            return;
        }
        m_breach = breach;
        for (const attempt_outcome outcome : request.m_attempts)
        {
            m_breach += std::string{" "} + to_text(outcome);
        }
    }

    void check_runs(const request_model& request)
    {
        const retry_state& state = request.m_state;
        const std::uint32_t most =
            is_retryable(state.m_retry_safety) ? state.m_max_upstreams : 1;
        check(state.m_possible_runs <= most, "runs too often:", request);
        check(request.m_attempts.size() <= most + max_not_run_attempts + 1,
              "has no end:", request);
    }

    void check_repeat(const request_model& request, next_step step)
    {
        const retry_state& state = request.m_state;
        check(state.m_has_time, "goes on without time:", request);
        check(step != next_step::try_other || not state.m_stream_begun,
              "begins a stream again:", request);
        check(step != next_step::resume_other ||
                  state.m_retry_safety == retry_safety::stream_resumable,
              "resumes what may not be:", request);
    }

    void check_end(const request_model& request, attempt_outcome outcome, next_step step)
    {
        const retry_state& state = request.m_state;
        const bool answered = outcome == attempt_outcome::answered;
        switch (step)
        {
        case next_step::deliver:
            check(answered || outcome == attempt_outcome::answered_with_fault,
                  "delivers no answer:", request);
            break;
        case next_step::refuse:
            check(state.m_possible_runs == 0 && not state.m_stream_begun,
                  "refuses what may have run:", request);
            break;
        case next_step::fail:
            check(state.m_possible_runs > 0 && not state.m_stream_begun,
                  "fails:", request);
            break;
        default:
            check(step == next_step::cut_off && state.m_stream_begun,
                  "cuts off:", request);
            break;
        }
        check(not answered || step == next_step::deliver,
              "keeps an answer back:", request);
    }

    std::size_t m_paths = 0;
    std::string m_breach;
};

} // namespace

TestSuite(attempt_model, .timeout = 200);

// Guards against a series of attempts that runs a request too often, refuses what may
// have run, begins a stream twice, or keeps a whole answer from its caller.
Test(attempt_model, every_order_of_attempts_keeps_the_promises_to_callers)
{
    for (const retry_safety safety : all_safeties)
    {
        for (std::uint32_t upstreams = 1; upstreams <= 3; ++upstreams)
        {
            request_model request;
            request.m_state.m_retry_safety = safety;
            request.m_state.m_max_upstreams = upstreams;
            attempt_model model;
            model.play(request);
            cr_expect(model.breach().empty(), "%s", model.breach().c_str());
            cr_expect(model.paths() > 100);
        }
    }
}
