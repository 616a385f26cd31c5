#pragma once

#include "load_deployment.hpp"

#include <geraniumdoor/net/http_types.hpp>

#include <map>
#include <string>
#include <vector>

namespace geraniumdoor
{

/// End of one request as its caller saw it.
struct load_outcome
{
    const load_arrival* m_arrival = nullptr;
    /// Time from the arrival to the last byte of the answer.
    duration m_latency{};
    /// Time from sending the last attempt to the last byte of its answer.
    duration m_exchange{};
    /// Whether any final answer came: a whole answer or a refusal.
    bool m_ended = false;
    /// Whether the whole answer came.
    bool m_whole = false;
    /// Code of the error answer, or of the transport.
    std::string m_code;
    std::string m_ran;
    /// Request ids of all attempts.
    std::vector<std::string> m_request_ids;
    /// Upstreams whose results make up the answer, by stage.
    std::vector<std::string> m_upstreams;
    /// The answer belongs to another request.
    bool m_wrong_caller = false;
    /// A part is missing in an answer that says it is whole.
    bool m_lost_part = false;
    bool m_doubled_part = false;
    /// Connections that broke after the request had left, and that were refused.
    unsigned m_cut = 0;
    unsigned m_connect_failed = 0;
};

/// Collects one answer of an entry host and checks it.
class answer_checker
{
public:
    answer_checker(const load_arrival& arrival, double tokens, load_outcome& outcome);

    /// Takes a line of a stream.
    void take_line(std::string_view line);

    /// Takes the body of an answer that is not a stream.
    void take_body(std::string_view body);

    /// Checks the parts of a stream against its last line.
    void finish_stream();

private:
    void take_object(const boost::json::object& object);
    void take_error(const boost::json::object& error);
    void take_token(const boost::json::object& line);
    void check_result(const boost::json::object& answer);

    const load_arrival& m_arrival;
    load_outcome& m_outcome;
    std::vector<std::string> m_expected;
    std::size_t m_received = 0;
};

} // namespace geraniumdoor
