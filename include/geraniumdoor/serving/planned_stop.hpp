#pragma once

#include <geraniumdoor/base/units.hpp>

#include <cstddef>
#include <cstdint>

namespace geraniumdoor::serving
{

/// Times of the planned stop of a host. Each is no earlier than the one before it.
struct stop_schedule
{
    time_point m_began{};
    /// From then on no stream is taken. Callers use an address for three times its TTL.
    time_point m_streams_refused_at{};
    /// The listener for callers closes, and so do connections without a request.
    time_point m_drains_at{};
    /// What still waits is answered, so that the answers are read before the end.
    time_point m_answers_due_at{};
    /// The process ends, whatever it still owes. The platform kills it soon afterwards.
    time_point m_ends_at{};
};

/// @param timeout time after which the platform kills the process
stop_schedule make_stop_schedule(time_point began, milliseconds timeout);

/// What a stopping host still owes to others.
struct owed_work
{
    /// Connections of callers, from the first byte of a request to the last byte of its
    /// answer, and new ones that may be about to send a request.
    std::size_t m_caller_connections = 0;
    /// Requests in progress.
    std::size_t m_requests = 0;
    /// Stages that run here, also for other hosts.
    std::size_t m_jobs = 0;
    /// Other hosts for which messages wait, such as results of stages.
    std::size_t m_unsent_peers = 0;
    /// Connections to the directory and to the operators' listeners, as for callers.
    std::size_t m_service_connections = 0;
};

enum class stop_phase : std::uint8_t
{
    /// Listeners are open, while callers may still have the address.
    serving,
    /// No new connection of a caller is taken; those that are owed an answer get it.
    draining,
    /// Callers and other hosts are owed nothing. The directory ends in the same way.
    closing,
    ended,
};

/// Next phase of a stop, which is the present one or a later one.
stop_phase next_phase(const stop_schedule& schedule, stop_phase phase,
                      const owed_work& owed, time_point now);

/// A request at a host that stops.
struct late_request
{
    bool m_is_stream = false;
    time_point m_arrived_at{};
    /// Time that it is expected to take; zero if that is not known.
    milliseconds m_expected{0};
    /// When the caller's time is up.
    time_point m_deadline{};
};

/// Whether a host that stops takes the request. If not, it says at once that the request
/// has not run.
///
/// Load pattern: callers that go on using the address of a stopping host, with calls that
/// take longer than the host has left. Such a call would run, and its caller would learn
/// at the end of the stop that the outcome is unknown. A call whose caller gives up
/// before that is served as at any other time.
bool is_taken(const stop_schedule& schedule, const late_request& request, time_point now);

const char* to_text(stop_phase phase);

} // namespace geraniumdoor::serving
